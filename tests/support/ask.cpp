#include "ask.hpp"

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace redwinggw::fleet {
namespace {

namespace json = boost::json;

base::task<void> exchange(boost::asio::io_context &Context,
                          http::address Address, http::request Request,
                          base::instant Deadline,
                          base::result<http::response> &Answer) {
  Answer = co_await http::exchangeOnce(
      Context.get_executor(), std::move(Address), std::move(Request), Deadline);
}

base::result<http::response> exchangeNow(const http::address &Address,
                                         http::request Request,
                                         std::chrono::milliseconds Timeout) {
  boost::asio::io_context Context(1);
  base::result<http::response> Answer = base::failure(base::errc::Internal);
  boost::asio::co_spawn(Context,
                        exchange(Context, Address, std::move(Request),
                                 base::now() + Timeout, Answer),
                        boost::asio::detached);
  Context.run();
  return Answer;
}

} // namespace

reply ask(const http::address &Address, std::string Target,
          const json::object &Body, std::string Authorization,
          std::chrono::milliseconds Timeout) {
  http::request Request;
  Request.Target = std::move(Target);
  Request.Authorization = std::move(Authorization);
  Request.Body = json::serialize(Body);
  const auto Answer = exchangeNow(Address, std::move(Request), Timeout);
  reply Reply;
  if (!Answer) {
    Reply.Failure = describe(Answer.error());
    return Reply;
  }
  Reply.Status = Answer->Status;
  boost::system::error_code Error;
  json::value Parsed = json::parse(Answer->Body, Error);
  if (!Error && Parsed.is_object())
    Reply.Body = std::move(Parsed.get_object());
  return Reply;
}

unsigned statusOfGet(const http::address &Address, std::string Target) {
  http::request Request;
  Request.Method = "GET";
  Request.Target = std::move(Target);
  const auto Answer = exchangeNow(Address, std::move(Request), AskTimeout);
  return Answer ? Answer->Status : 0;
}

reply caller::read(const http::address &Address, std::string Sql,
                   json::array Params) {
  json::object Body{{"access", "read"},
                    {"sql", std::move(Sql)},
                    {"params", std::move(Params)}};
  return send(Address, "/v1/statement", std::move(Body));
}

reply caller::write(const http::address &Address, std::string Sql,
                    json::array Params) {
  RequestId = base::randomId();
  LastWrite = {{"access", "write"},
               {"sql", std::move(Sql)},
               {"params", std::move(Params)},
               {"request_id", RequestId},
               {"issued_at", base::wallMilliseconds()}};
  return repeat(Address);
}

reply caller::repeat(const http::address &Address) {
  return send(Address, "/v1/statement", LastWrite);
}

reply caller::outcomeOfWrite(const http::address &Address) {
  json::object Body{{"request_id", RequestId},
                    {"issued_at", LastWrite.at("issued_at")}};
  return send(Address, "/v1/outcome", std::move(Body));
}

reply caller::send(const http::address &Address, std::string Target,
                   json::object Body) {
  Body["service"] = Service;
  if (!Session.empty())
    Body["session"] = Session;
  reply Reply = ask(Address, std::move(Target), Body, "Bearer " + Key);
  if (std::string Next = textIn(Reply.Body, "session"); !Next.empty())
    Session = std::move(Next);
  // The token does not cover a write whose outcome is not known.
  if (outcomeOf(Reply) == "unknown" || Reply.Status == 0)
    Session.clear();
  return Reply;
}

std::string textIn(const json::object &Body, std::string_view Name) {
  const json::value *Value = Body.if_contains(Name);
  if (Value == nullptr || !Value->is_string())
    return {};
  return std::string(Value->get_string());
}

std::string outcomeOf(const reply &Reply) {
  const std::string Outcome = textIn(Reply.Body, "outcome");
  return Outcome.empty() ? "no answer" : Outcome;
}

} // namespace redwinggw::fleet
