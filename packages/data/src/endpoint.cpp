#include "redwinggw/data/endpoint.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <boost/json.hpp>

#include <array>

namespace redwinggw::data {
namespace {

namespace json = boost::json;
using base::enum_name;
using base::errc;
using base::failure;

constexpr std::array RoleNames = std::to_array<enum_name<endpoint_role>>({
    {endpoint_role::Primary, "primary"},
    {endpoint_role::Replica, "replica"},
    {endpoint_role::Sealed, "sealed"},
});

/// Maps a refusal's name in the protocol to the caller's error.
struct refusal_row {
  refusal Value;
  std::string_view Name;
  errc Kind;
};

constexpr std::array Refusals = std::to_array<refusal_row>({
    {refusal::NotPrimary, "not_primary", errc::NotPrimary},
    {refusal::TermReplaced, "term_replaced", errc::TermReplaced},
    {refusal::ConnectionLimit, "connection_limit", errc::ConnectionLimit},
    {refusal::StatementFailed, "statement_failed", errc::StatementFailed},
    {refusal::UniqueKey, "unique", errc::StatementFailed},
    {refusal::Busy, "busy", errc::EndpointRefused},
    {refusal::BadRequest, "bad_request", errc::BadRequest},
});

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRefused = 409;

http::request post(std::string Target, std::string Instance,
                   const json::object &Body) {
  http::request Request;
  Request.Target = std::move(Target);
  Request.From = std::move(Instance);
  Request.Body = json::serialize(Body);
  return Request;
}

std::string textOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

std::uint64_t numberOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr)
    return 0;
  if (Value->is_uint64())
    return Value->get_uint64();
  return Value->is_int64() ? static_cast<std::uint64_t>(Value->get_int64()) : 0;
}

std::optional<endpoint_state> stateOf(const json::object &Body) {
  const json::value *Value = Body.if_contains("state");
  if (Value == nullptr || !Value->is_object())
    return std::nullopt;
  const json::object &Object = Value->get_object();
  const auto Role = base::valueOf(RoleNames, textOf(Object, "role"));
  if (!Role)
    return std::nullopt;
  endpoint_state State;
  State.Name = textOf(Object, "name");
  State.Role = *Role;
  State.Term = numberOf(Object, "term");
  State.Order = textOf(Object, "order");
  State.Received = numberOf(Object, "received");
  State.Applied = numberOf(Object, "applied");
  const json::value *History = Object.if_contains("history");
  if (History == nullptr || !History->is_array())
    return State;
  for (const json::value &Row : History->get_array())
    if (Row.is_object())
      State.History.push_back({numberOf(Row.get_object(), "term"),
                               numberOf(Row.get_object(), "start")});
  return State;
}

json::object membersOf(const endpoint_address &Member) {
  return {{"name", Member.Name}, {"address", http::toText(Member.Address)}};
}

/// The body of \p Response; empty when it is not a JSON object.
std::optional<json::object> bodyOf(const http::response &Response) {
  boost::system::error_code Error;
  json::value Value = json::parse(Response.Body, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.get_object());
}

run_failure refusalOf(const json::object &Body) {
  run_failure Failed;
  Failed.State = stateOf(Body);
  const std::string Name = textOf(Body, "error");
  const auto *Row = std::ranges::find(Refusals, Name, &refusal_row::Name);
  const json::value *Ran = Body.if_contains("ran");
  const bool ProvedNotRun =
      Ran != nullptr && Ran->is_bool() && !Ran->get_bool();
  if (Row != Refusals.end())
    Failed.Refusal = Row->Value;
  const bool Known = Row != Refusals.end() && ProvedNotRun;
  Failed.Failure =
      failure(Known ? Row->Kind : errc::OutcomeUnknown, textOf(Body, "detail"));
  return Failed;
}

json::object runBody(const run_request &Request) {
  json::array Statements;
  for (const statement &Statement : Request.Statements)
    Statements.push_back(
        json::object{{"sql", Statement.Sql}, {"params", Statement.Params}});
  return {{"begin", Request.Begin},
          {"read_only", Request.ReadOnly},
          {"commit", Request.Commit},
          {"rollback", Request.Rollback},
          {"expect_term", Request.ExpectTerm.value_or(0)},
          {"statements", std::move(Statements)}};
}

run_result answerOf(const http::response &Response) {
  run_result Result;
  std::optional<json::object> Body = bodyOf(Response);
  if (!Body) {
    Result.Failed.Failure = failure(errc::TruncatedAnswer, "not JSON");
    return Result;
  }
  if (Response.Status != StatusOk) {
    Result.Failed = refusalOf(*Body);
    return Result;
  }
  json::value *Results = Body->if_contains("results");
  std::optional<endpoint_state> State = stateOf(*Body);
  if (Results == nullptr || !Results->is_array() || !State) {
    Result.Failed.Failure = failure(errc::TruncatedAnswer, "parts are missing");
    return Result;
  }
  run_answer Answer;
  Answer.Results = std::move(Results->get_array());
  Answer.Position = numberOf(*Body, "position");
  const json::value *InTransaction = Body->if_contains("in_transaction");
  Answer.InTransaction = InTransaction != nullptr && InTransaction->is_bool() &&
                         InTransaction->get_bool();
  Answer.Busy = base::microseconds(numberOf(*Body, "busy_us"));
  Answer.State = std::move(*State);
  Result.Answer = std::move(Answer);
  return Result;
}

base::task<base::result<endpoint_state>> sendCommand(http::client &Client,
                                                     http::request Request,
                                                     base::instant Deadline) {
  const auto Response = co_await Client.exchange(Request, Deadline);
  if (!Response)
    co_return Response.error();
  const std::optional<json::object> Body = bodyOf(*Response);
  if (!Body)
    co_return failure(errc::TruncatedAnswer, "not JSON");
  if (Response->Status == StatusRefused)
    co_return refusalOf(*Body).Failure;
  std::optional<endpoint_state> State = stateOf(*Body);
  if (Response->Status != StatusOk || !State)
    co_return failure(errc::EndpointRefused, textOf(*Body, "detail"));
  co_return std::move(*State);
}

} // namespace

base::task<base::result<endpoint_state>>
connectEndpoint(http::client &Client, http::address Address,
                std::string Instance, base::instant Deadline) {
  const auto Connected = co_await Client.connect(Address, Deadline);
  if (!Connected)
    co_return Connected.error();
  http::request Request = post("/connect", std::move(Instance), {});
  auto State = co_await sendCommand(Client, std::move(Request), Deadline);
  if (!State)
    Client.close();
  co_return State;
}

base::task<run_result> run(http::client &Client, const run_request &Request,
                           std::string Instance, base::instant Deadline) {
  const http::request Message =
      post("/run", std::move(Instance), runBody(Request));
  const auto Response = co_await Client.exchange(Message, Deadline);
  if (Response)
    co_return answerOf(*Response);
  run_result Result;
  Result.Failed.Failure = Response.error();
  co_return Result;
}

base::task<base::result<endpoint_state>> status(http::client &Client,
                                                status_request Request,
                                                std::string Instance,
                                                base::instant Deadline) {
  const json::object Body{{"wait_received", Request.WaitReceived},
                          {"term", Request.Term},
                          {"timeout_ms", Request.Timeout.count()}};
  http::request Message = post("/status", std::move(Instance), Body);
  co_return co_await sendCommand(Client, std::move(Message), Deadline);
}

base::task<base::result<endpoint_state>>
seal(http::client &Client, base::term_number Term, std::string Order,
     std::string Instance, base::instant Deadline) {
  const json::object Body{{"term", Term}, {"order", Order}};
  http::request Message = post("/seal", std::move(Instance), Body);
  co_return co_await sendCommand(Client, std::move(Message), Deadline);
}

base::task<base::result<endpoint_state>>
promote(http::client &Client, base::term_number Term, std::string Order,
        std::vector<endpoint_address> Members, std::string Instance,
        base::instant Deadline) {
  json::array List;
  for (const endpoint_address &Member : Members)
    List.push_back(membersOf(Member));
  const json::object Body{{"term", Term}, {"order", Order}, {"members", List}};
  http::request Message = post("/promote", std::move(Instance), Body);
  co_return co_await sendCommand(Client, std::move(Message), Deadline);
}

base::task<base::result<endpoint_state>>
follow(http::client &Client, base::term_number Term, std::string Order,
       endpoint_address Primary, std::string Instance, base::instant Deadline) {
  const json::object Body{
      {"term", Term}, {"order", Order}, {"primary", membersOf(Primary)}};
  http::request Message = post("/follow", std::move(Instance), Body);
  co_return co_await sendCommand(Client, std::move(Message), Deadline);
}

std::string_view roleName(endpoint_role Role) {
  return base::nameOf(RoleNames, Role);
}

} // namespace redwinggw::data
