#include "common/throttled_proxy.hpp"
#include "platform/platform.hpp"

#include "redwinggw/http/server.hpp"
#include "redwinggw/storage/store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;

namespace {

namespace asio = boost::asio;

const std::string LargeValue(800'000, 'x');

base::task<void> writeThenRead(storage::store &Direct, storage::store &Slow,
                               std::string &Value) {
  storage::commit_request Request;
  Request.Puts.push_back({"sheet", LargeValue});
  const auto Written = co_await storage::commit(Direct, std::move(Request));
  cr_assert(Written.has_value());
  std::vector<std::string> Keys(1, "sheet");
  const auto Rows = co_await storage::get(Slow, std::move(Keys));
  cr_assert(Rows.has_value(), "%s", describe(Rows.error()).c_str());
  Value = Rows->front().Value;
}

} // namespace

// Guards against a timeout that makes a large sheet unreadable over a slow
// link.
Test(own_protocol, reads_a_large_row_over_a_slow_link) {
  asio::io_context Context;
  const auto Executor = Context.get_executor();
  standin::platform_standin Platform(Executor, base::microseconds(0));
  http::server Server(Executor, {},
                      [&](http::connection &, http::request Request) {
                        return Platform.handle(std::move(Request));
                      });
  const http::address Address = Server.listen({"127.0.0.1", 0}).value();
  standin::throttled_proxy Proxy(Executor, Address);
  // The whole row takes twice the stall timeout, a chunk a twentieth of it.
  constexpr std::size_t BytesPerSecond = 100'000;
  constexpr base::milliseconds StallTimeout{4000};
  constexpr base::milliseconds Long{60'000};
  Proxy.setSpeed(BytesPerSecond);
  storage::store Direct{Executor, Address, "i1", Long};
  storage::store Slow{Executor, Proxy.address(), "i1", StallTimeout};
  std::string Value;
  asio::co_spawn(Context, writeThenRead(Direct, Slow, Value),
                 [&](const std::exception_ptr &) { Context.stop(); });
  Context.run();
  cr_assert(Value == LargeValue);
}
