#include "caller.hpp"

#include "answer_fields.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace redwinggw::load {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> OtherInstanceErrors{
    "endpoint_unreachable", "draining", "stale_configuration"};

base::outcome outcomeNamed(std::string_view Name) {
  if (Name == base::outcomeName(base::outcome::Done))
    return base::outcome::Done;
  return Name == base::outcomeName(base::outcome::NotRun)
             ? base::outcome::NotRun
             : base::outcome::Unknown;
}

caller_answer answerOf(const base::failure &Failure) {
  const base::error_kind &Kind = base::kindOf(kindOf(Failure));
  return {Kind.Outcome, std::string(Kind.Name), {}};
}

caller_answer answerOf(const http::response &Response) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Response.Body, Error);
  if (Error || !Value.is_object())
    return {base::outcome::Unknown, "truncated_answer", {}};
  caller_answer Answer;
  Answer.Body = Value.get_object();
  Answer.Outcome = outcomeNamed(textAt(Answer.Body, "outcome"));
  Answer.Error = textAt(Answer.Body, "error");
  return Answer;
}

} // namespace

caller::caller(boost::asio::any_io_executor Executor,
               std::vector<http::address> Instances)
    : Executor(std::move(Executor)), Instances(std::move(Instances)),
      Idle(this->Instances.size()) {}

base::task<caller_answer> caller::post(std::size_t Instance, std::string Target,
                                       std::string Key, json::object Body,
                                       base::instant Deadline) {
  const std::size_t Index = Instance % Instances.size();
  http::client Client(Executor);
  if (Idle[Index].empty()) {
    const auto Connected = co_await Client.connect(Instances[Index], Deadline);
    if (!Connected)
      co_return answerOf(Connected.error());
  } else {
    Client = std::move(Idle[Index].back());
    Idle[Index].pop_back();
  }
  http::request Request;
  Request.Target = std::move(Target);
  Request.Authorization = "Bearer " + Key;
  Request.Body = json::serialize(Body);
  const auto Response = co_await Client.exchange(Request, Deadline);
  if (!Response)
    co_return answerOf(Response.error());
  if (Client.isOpen())
    Idle[Index].push_back(std::move(Client));
  co_return answerOf(*Response);
}

bool mayTryAnotherInstance(const caller_answer &Answer) {
  return Answer.Outcome == base::outcome::NotRun &&
         std::ranges::find(OtherInstanceErrors, Answer.Error) !=
             OtherInstanceErrors.end();
}

} // namespace redwinggw::load
