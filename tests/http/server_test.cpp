#include "redwinggw/http/client.hpp"
#include "redwinggw/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;

namespace {

constexpr std::chrono::seconds ExchangeTimeout{10};

base::task<http::response> echo(http::connection &, http::request Request) {
  if (Request.Target == "/throw")
    throw std::runtime_error("handler failed");
  co_return http::response{Request.Target == "/close" ? 0U : 200U,
                           Request.Body};
}

/// Sends one request to an echo server and returns the response.
base::result<http::response> exchangeWithEcho(std::string Target,
                                              std::string Body) {
  boost::asio::io_context Context;
  http::server Server(Context.get_executor(), {}, echo);
  const auto Address = Server.listen({"127.0.0.1", 0});
  base::result<http::response> Answer = base::failure(base::errc::Internal);
  const auto Run = [&]() -> base::task<void> {
    http::request Request;
    Request.Target = std::move(Target);
    Request.Body = std::move(Body);
    Answer =
        co_await http::exchangeOnce(Context.get_executor(), Address.value(),
                                    Request, base::now() + ExchangeTimeout);
    Server.drain();
  };
  boost::asio::co_spawn(Context, Run(), boost::asio::detached);
  Context.run();
  return Answer;
}

} // namespace

Test(server, a_body_comes_back_whole) {
  const std::string Body(100'000, 'x');
  const auto Answer = exchangeWithEcho("/echo", Body);
  cr_assert(Answer.has_value());
  cr_assert(Answer->Body == Body);
}

// Guards against reporting "not run" when the outcome is unknown: the server
// process dies after it received the request and before it responds.
Test(server, a_connection_closed_without_an_answer_is_an_unknown_outcome) {
  const auto Answer = exchangeWithEcho("/close", "x");
  cr_assert(Answer.has_error());
  cr_assert(kindOf(Answer.error()) == base::errc::OutcomeUnknown);
}

// Guards against leaking the connection of a handler that throws: its caller
// would wait until its deadline, and the connection would stay open and counted
// forever, until the connection limit is exhausted.
Test(server, a_handler_that_throws_closes_its_connection) {
  const auto Answer = exchangeWithEcho("/throw", "x");
  cr_assert(Answer.has_error());
  cr_assert(kindOf(Answer.error()) == base::errc::OutcomeUnknown);
  cr_assert(Answer.error().Detail.find("timeout") == std::string::npos);
}
