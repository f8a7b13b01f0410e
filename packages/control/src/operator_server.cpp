#include "redwinggw/control/operator_server.hpp"

#include "redwinggw/base/digest.hpp"
#include "redwinggw/base/log.hpp"

#include <boost/json.hpp>

namespace redwinggw::control {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;
using base::task;

constexpr std::string_view Scheme = "Bearer ";
constexpr std::string_view StatusPath = "/operators/status";
constexpr std::string_view MetricsPath = "/operators/metrics";

http::response responseOf(const failure &Failure) {
  const base::error_kind &Kind = base::kindOf(kindOf(Failure));
  const json::object Body{{"error", Kind.Name},
                          {"message", Kind.Message},
                          {"detail", Failure.Detail},
                          {"remedy", Kind.Remedy},
                          {"outcome", base::outcomeName(Kind.Outcome)}};
  http::response Response;
  Response.Status = Kind.HttpStatus;
  Response.Body = json::serialize(Body);
  return Response;
}

result<json::object> bodyOf(const std::string &Text) {
  if (Text.empty())
    return json::object{};
  boost::system::error_code Error;
  json::value Value = json::parse(Text, Error);
  if (Error || !Value.is_object())
    return failure(errc::BadRequest, "the body must be a JSON object");
  return std::move(Value.get_object());
}

} // namespace

operator_server::operator_server(boost::asio::any_io_executor Executor,
                                 std::string OperatorKey)
    : OperatorKey(std::move(OperatorKey)),
      Server(std::move(Executor), {},
             [this](http::connection &, http::request Request) {
               return answer(std::move(Request));
             }) {}

void operator_server::addRoute(std::string Path, route Route) {
  Routes.insert_or_assign(std::move(Path), std::move(Route));
}

void operator_server::addStatus(std::string Name, status_provider Provider) {
  Providers.insert_or_assign(std::move(Name), std::move(Provider));
}

void operator_server::setMetrics(std::function<std::string()> Provider) {
  Metrics = std::move(Provider);
}

result<http::address> operator_server::listen(const http::address &Address) {
  return Server.listen(Address);
}

void operator_server::drain() { Server.drain(); }

bool operator_server::isAuthorized(const http::request &Request) const {
  const std::string_view Shown = Request.Authorization;
  return !OperatorKey.empty() && Shown.starts_with(Scheme) &&
         base::equalInConstantTime(Shown.substr(Scheme.size()), OperatorKey);
}

json::object operator_server::status() const {
  json::object Status;
  for (const auto &[Name, Provider] : Providers)
    Status[Name] = Provider();
  return Status;
}

task<result<json::object>> operator_server::perform(http::request Request) {
  if (!isAuthorized(Request))
    co_return failure(errc::UnknownKey, "the operators' key is needed");
  if (Request.Target == StatusPath)
    co_return status();
  const auto Route = Routes.find(Request.Target);
  if (Route == Routes.end())
    co_return failure(errc::NotFound, "path " + Request.Target);
  auto Body = bodyOf(Request.Body);
  if (!Body)
    co_return Body.error();
  // A copy: the route may be replaced while it runs.
  const route Run = Route->second;
  try {
    co_return co_await Run(std::move(*Body));
  } catch (const std::exception &Error) {
    // Guards against an exception of one route that would end the process.
    co_return failure(errc::Internal, Error.what());
  }
}

task<http::response> operator_server::answer(http::request Request) {
  if (Request.Target == MetricsPath && Metrics)
    co_return http::response{200, Metrics(), "text/plain; version=0.0.4", 0};
  const std::string Path = Request.Target;
  auto Answer = co_await perform(std::move(Request));
  if (Answer)
    co_return http::response{200, json::serialize(*Answer), "application/json",
                             0};
  const failure Failure = Answer.error();
  base::log(base::log_level::Info, base::log_part::Operators,
            "Refused " + Path + ": " +
                std::string(base::kindOf(kindOf(Failure)).Name) + ".");
  co_return responseOf(Failure);
}

} // namespace redwinggw::control
