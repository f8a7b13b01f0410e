#pragma once

#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"

#include "fake_endpoint.hpp"

#include <deque>
#include <memory>
#include <string>

namespace redwinggw::session::testing {

inline constexpr std::string_view Secret = "secret";

/// An owner of all endpoints and instances that forward their statements to it,
/// over real connections, in one event loop.
struct forwarding_fleet {
  explicit forwarding_fleet(std::size_t Instances = 1)
      : Owner(Context, Group),
        Server(Context.get_executor(), Owner.Core, std::string(Secret)) {
    Address = Server.listen({"127.0.0.1", 0}).value();
    for (std::size_t Index = 0; Index < Instances; ++Index)
      add();
  }
  ~forwarding_fleet() {
    Server.stop();
    Context.poll();
  }

  void add() {
    core_fixture &Instance = Instances.emplace_back(Context, Group);
    Links.push_back(std::make_unique<forwarding_client>(
        Context.get_executor(), Instance.Set.Watch, std::string(Secret)));
    Instance.Core.Ports.Forward =
        [this, Via = Links.back().get()](
            const endpoint_entry &Entry, std::string_view Customer,
            unsigned Priority) -> std::unique_ptr<forwarding_link> {
      if (!Via->isUsable("owner", base::now()))
        return nullptr;
      return Via->linkTo({"owner", Address}, Entry.Name, std::string(Customer),
                         Priority);
    };
  }

  core_fixture &first() { return Instances.front(); }

  /// Takes a slot. Precondition: one is free.
  slot_grant take(const pool_ptr &Pool) {
    slot_grant Grant;
    boost::asio::co_spawn(
        Context,
        [](pool_ptr Pool, slot_grant &Grant) -> base::task<void> {
          Grant = co_await acquireSlot(Pool, slot_level::Normal, "acme",
                                       base::now() + base::milliseconds(50));
        }(Pool, Grant),
        boost::asio::detached);
    while (!Grant)
      Context.run_one();
    return Grant;
  }

  boost::asio::io_context Context;
  fake_group Group;
  core_fixture Owner;
  forwarding_server Server;
  http::address Address;
  std::deque<core_fixture> Instances;
  std::deque<std::unique_ptr<forwarding_client>> Links;
};

} // namespace redwinggw::session::testing
