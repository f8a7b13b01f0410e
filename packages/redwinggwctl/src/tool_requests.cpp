#include "tool_requests.hpp"

#include "redwinggw/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace redwinggw::ctl {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

constexpr unsigned StatusOk = 200;
constexpr std::chrono::seconds RequestTimeout{15};

http::request requestOf(const tool_client &Client, const std::string &Path) {
  http::request Request;
  Request.Target = Path;
  Request.Authorization = "Bearer " + Client.Options.OperatorKey;
  return Request;
}

std::string textIn(const json::object &Body, std::string_view Name) {
  const json::value *Value = Body.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

result<json::object> bodyOf(const http::response &Response) {
  boost::system::error_code Error;
  json::value Value = json::parse(Response.Body, Error);
  if (Error || !Value.is_object())
    return failure(errc::TruncatedAnswer, "the answer is not a JSON object");
  json::object &Body = Value.get_object();
  if (Response.Status == StatusOk)
    return std::move(Body);
  return failure(base::errcNamed(textIn(Body, "error")),
                 textIn(Body, "detail"));
}

/// Whether the request may be sent to another instance after \p Failure: it had
/// no effect, or it changes nothing.
bool mayTryNextInstance(const failure &Failure, effect Effect) {
  switch (kindOf(Failure)) {
  case errc::InstanceUnreachable:
  case errc::Draining:
  case errc::StaleConfiguration:
    return true;
  case errc::OutcomeUnknown:
  case errc::TruncatedAnswer:
    // A change must not be made twice, such as a key that a second instance
    // creates although the first one created it and its answer was lost.
    return Effect == effect::ReadOnly;
  default:
    return false;
  }
}

/// A failure of the HTTP client as operators know it: instances, not endpoints.
failure instanceFailure(const failure &Failure) {
  if (kindOf(Failure) == errc::EndpointUnreachable)
    return {errc::InstanceUnreachable, Failure.Detail};
  return Failure;
}

failure noAddress() {
  return {errc::BadSettings,
          "no instance is named; give --operators or --config"};
}

std::vector<http::address> allAddresses(const tool_client &Client) {
  std::vector<http::address> Addresses = Client.Options.Operators;
  const auto Listed =
      requestAny(Client, "/operators/instances", {}, effect::ReadOnly);
  const json::value *Instances =
      Listed ? Listed->if_contains("instances") : nullptr;
  if (Instances != nullptr && Instances->is_array())
    for (const json::value &Instance : Instances->get_array()) {
      const auto Address = http::parseAddress(
          Instance.is_object() ? textIn(Instance.get_object(), "operators")
                               : std::string());
      if (Address)
        Addresses.push_back(*Address);
    }
  std::ranges::sort(Addresses);
  const auto Repeats = std::ranges::unique(Addresses);
  Addresses.erase(Repeats.begin(), Repeats.end());
  return Addresses;
}

} // namespace

result<http::response> exchange(const http::address &Address,
                                const http::request &Request) {
  boost::asio::io_context Context;
  result<http::response> Response = failure(errc::Internal);
  boost::asio::co_spawn(
      Context,
      http::exchangeOnce(Context.get_executor(), Address, Request,
                         base::now() + RequestTimeout),
      [&](const std::exception_ptr &Error, result<http::response> Got) {
        if (!Error)
          Response = std::move(Got);
      });
  Context.run();
  return Response;
}

result<json::object> requestOne(const tool_client &Client,
                                const http::address &Address,
                                const std::string &Path,
                                const json::object &Body) {
  http::request Request = requestOf(Client, Path);
  Request.Body = json::serialize(Body);
  const auto Response = Client.Exchange(Address, Request);
  if (Response)
    return bodyOf(*Response);
  return instanceFailure(Response.error());
}

result<json::object> requestAny(const tool_client &Client,
                                const std::string &Path,
                                const json::object &Body, effect Effect) {
  result<json::object> Answer = noAddress();
  for (const http::address &Address : Client.Options.Operators) {
    Answer = requestOne(Client, Address, Path, Body);
    if (Answer || !mayTryNextInstance(Answer.error(), Effect))
      return Answer;
  }
  return Answer;
}

std::vector<instance_answer> requestAll(const tool_client &Client,
                                        const std::string &Path) {
  std::vector<instance_answer> Answers;
  for (const http::address &Address : allAddresses(Client))
    Answers.push_back({Address, requestOne(Client, Address, Path, {})});
  return Answers;
}

result<std::string> fetchMetrics(const tool_client &Client) {
  result<std::string> Answer = noAddress();
  http::request Request = requestOf(Client, "/operators/metrics");
  Request.Method = "GET";
  for (const http::address &Address : Client.Options.Operators) {
    const auto Response = Client.Exchange(Address, Request);
    if (Response && Response->Status == StatusOk)
      return Response->Body;
    Answer = Response ? bodyOf(*Response).error()
                      : instanceFailure(Response.error());
  }
  return Answer;
}

} // namespace redwinggw::ctl
