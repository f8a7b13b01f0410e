#include "redwinggw/data/connection_pool.hpp"
#include "redwinggw/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds Timeout{20};
constexpr const char *State =
    R"({"state":{"name":"e1","role":"primary","term":1}})";

base::task<http::response> accept(http::connection &, http::request) {
  co_return http::response{200, State};
}

struct endpoint_fixture {
  asio::io_context Context;
  http::server Server{Context.get_executor(), {}, accept};
  http::address Address = Server.listen({"127.0.0.1", 0}).value();
  connection_pool Pool{Context.get_executor(), "i1",
                       control::endpoint{"e1", "g", Address, "a", 5, 1}, 1};
};

base::task<void> acquireAndKeep(endpoint_fixture &Fixture,
                                std::vector<connection_handle> &Kept) {
  auto Connection = co_await Fixture.Pool.acquire(base::now() + Timeout);
  if (Connection)
    Kept.push_back(std::move(*Connection));
  if (!Connection || Kept.size() == 2)
    Fixture.Context.stop();
}

base::task<void> releaseLater(endpoint_fixture &Fixture,
                              std::vector<connection_handle> &Kept) {
  while (Kept.empty())
    co_await asio::post(asio::use_awaitable);
  // The empty handle stays in the vector, so that the second connection makes
  // its size 2 and ends the test.
  Fixture.Pool.release(std::move(Kept.front()));
}

} // namespace

// Guards against connection_limit errors for requests that could have had a
// connection a moment later: the only connection of the limit was being opened
// ahead of demand or was about to be released.
Test(connection_pool, a_request_waits_for_the_last_connection) {
  endpoint_fixture Fixture;
  std::vector<connection_handle> Kept;
  asio::co_spawn(Fixture.Context, acquireAndKeep(Fixture, Kept),
                 asio::detached);
  asio::co_spawn(Fixture.Context, acquireAndKeep(Fixture, Kept),
                 asio::detached);
  asio::co_spawn(Fixture.Context, releaseLater(Fixture, Kept), asio::detached);
  Fixture.Context.run();
  cr_assert(Kept.size() == 2);
  cr_assert(Fixture.Pool.open() == 1);
}
