#include "native/simulated_platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <future>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;
namespace asio = boost::asio;

json::object routeOf(const std::string &Host, const std::string &Kind) {
  return {
      {"name", "r-" + Host}, {"host", Host},       {"path_prefix", "/"},
      {"kind", Kind},        {"timeout_ms", 3000}, {"target_latency_ms", 2000},
      {"priority", 1},       {"service", "s"},     {"max_staleness_ms", 2500},
      {"public", false}};
}

} // namespace

simulated_platform::simulated_platform()
    : StoreServer(Context.get_executor(), {},
                  [this](http::connection &,
                         http::request Request) -> base::task<http::response> {
                    co_return Store.handle(Request);
                  }),
      SecondStoreServer(
          Context.get_executor(), {},
          [this](http::connection &,
                 http::request Request) -> base::task<http::response> {
            constexpr unsigned Unavailable = 503;
            http::response Refused;
            Refused.Status = Unavailable;
            co_return SecondStoreDown ? Refused : Store.handle(Request);
          }),
      PromotionServer(Context.get_executor(), {},
                      [this](http::connection &, http::request Request)
                          -> base::task<http::response> {
                        co_return handlePromotion(Request);
                      }) {
  Group.Service = "s";
  Group.Leader = "d1";
  for (const char *Name : {"d1", "d2", "d3"}) {
    simulated_database Database;
    Database.Name = Name;
    Database.Primary = Group.Databases.empty();
    Group.Databases.push_back(Database);
  }
  for (const simulated_database &Database : Group.Databases) {
    Servers.push_back(std::make_unique<database_server>(Context.get_executor(),
                                                        Group, Database.Name));
    publish(Database);
  }
  const http::address Any{"127.0.0.1", 0};
  StoreAddress = StoreServer.listen(Any).value();
  SecondStoreProxy = std::make_unique<throttled_proxy>(
      Context.get_executor(), SecondStoreServer.listen(Any).value());
  SecondStoreAddress = SecondStoreProxy->address();
  PromotionAddress = PromotionServer.listen(Any).value();
  configure({"key"});
  Thread = std::thread([this] {
    const auto Guard = asio::make_work_guard(Context);
    Context.run();
  });
}

simulated_platform::~simulated_platform() {
  Context.stop();
  Thread.join();
}

void simulated_platform::runOnThread(
    const std::function<void(simulated_platform &)> &Work) {
  std::promise<void> Done;
  asio::post(Context, [&] {
    Work(*this);
    Done.set_value();
  });
  Done.get_future().wait();
}

void simulated_platform::publish(const simulated_database &Database) {
  for (const auto &Server : Servers) {
    const std::size_t Index = &Server - Servers.data();
    if (Group.Databases[Index].Name != Database.Name)
      continue;
    Store.put("servers", Database.Name,
              json::serialize(json::object{
                  {"service", Group.Service},
                  {"address", toText(Server->address())},
                  {"zone", Database.Zone},
                  {"version", "v1"},
                  {"slots", 5},
                  {"state", Database.Draining ? "draining" : "ready"},
                  {"cold_remaining_ms", Database.ColdRemaining.count()},
                  {"database_role", Database.Primary ? "primary" : "replica"},
                  {"sequence", 1},
                  {"born", 1}}));
  }
}

void simulated_platform::configure(const std::vector<std::string> &Keys,
                                   double Rate, std::size_t UnusedRoutes) {
  json::array Routes{routeOf("strict", "primary"),
                     routeOf("bounded", "bounded_staleness"),
                     routeOf("own", "read_your_writes")};
  for (std::size_t Index = 0; Index < UnusedRoutes; ++Index)
    Routes.push_back(routeOf("unused" + std::to_string(Index), "primary"));
  const json::object Customer{{"name", "acme"},
                              {"api_keys", json::value_from(Keys)},
                              {"priority", 1},
                              {"rate_per_s", Rate},
                              {"burst", Rate}};
  const json::object Service{{"name", "s"},
                             {"connection_limit", 50},
                             {"sync_replicas", Group.SynchronousReplicas},
                             {"cold_start_s", 20},
                             {"cold_per_s", 20}};
  Store.put("op", "config",
            json::serialize(json::object{
                {"version", ++ConfigurationVersion},
                {"routes", std::move(Routes)},
                {"services", json::array{Service}},
                {"limits", json::object{{"transaction_idle_ms", 3000}}},
                {"tenants", json::array{Customer}}}));
}

http::response
simulated_platform::handlePromotion(const http::request &Request) {
  const json::value Body = json::parse(Request.Body);
  const std::string Name(Body.at("identifier").as_string());
  Promotions.push_back({Name, Request.From});
  http::response Response;
  constexpr unsigned Conflict = 409;
  if (!isRunning(Group, Name))
    Response.Status = Conflict;
  else if (PromotionTime.count() == 0)
    promote(Group, Name);
  else
    asio::co_spawn(Context, promoteLater(Name), asio::detached);
  publishAll();
  return Response;
}

base::task<void> simulated_platform::promoteLater(std::string Name) {
  asio::steady_timer Timer(Context, PromotionTime);
  co_await Timer.async_wait(asio::use_awaitable);
  promote(Group, Name);
  publishAll();
}

void simulated_platform::publishAll() {
  for (const simulated_database &Database : Group.Databases)
    if (!Database.Down)
      publish(Database);
}

void simulated_platform::crash(const std::string &Name) {
  runOnThread([&](simulated_platform &World) {
    replicate(World.Group, base::now());
    findDatabase(World.Group, Name)->Down = true;
    for (std::size_t Index = 0; Index < Servers.size(); ++Index)
      if (World.Group.Databases[Index].Name == Name)
        Servers[Index]->dropConnections();
  });
}

void simulated_platform::leave(const std::string &Name) {
  crash(Name);
  runOnThread(
      [&](simulated_platform &World) { World.Store.remove("servers", Name); });
}

void simulated_platform::restart(const std::string &Name) {
  runOnThread([&](simulated_platform &World) {
    simulated_database *Database = findDatabase(World.Group, Name);
    Database->Down = false;
    Database->Primary = World.Group.Leader == Name;
    publish(*Database);
  });
}

void simulated_platform::replicateSynchronously() {
  runOnThread([](simulated_platform &World) {
    World.Group.SynchronousReplicas = 1;
    World.configure({"key"});
  });
}

void simulated_platform::drain(const std::string &Name) {
  runOnThread([&](simulated_platform &World) {
    simulated_database *Database = findDatabase(World.Group, Name);
    Database->Draining = true;
    publish(*Database);
  });
}

void simulated_platform::placeIn(const std::string &Name,
                                 const std::string &Zone) {
  runOnThread([&](simulated_platform &World) {
    simulated_database *Database = findDatabase(World.Group, Name);
    Database->Zone = Zone;
    publish(*Database);
  });
}

void simulated_platform::evacuate(const std::string &Zone) {
  runOnThread([&](simulated_platform &World) {
    World.Store.put("op", "evacuate/" + Zone, "{}");
  });
}

void simulated_platform::endEvacuation(const std::string &Zone) {
  runOnThread([&](simulated_platform &World) {
    World.Store.remove("op", "evacuate/" + Zone);
  });
}

void simulated_platform::makeCold(const std::string &Name,
                                  base::milliseconds Remaining) {
  runOnThread([&](simulated_platform &World) {
    simulated_database *Database = findDatabase(World.Group, Name);
    Database->ColdRemaining = Remaining;
    publish(*Database);
  });
}

} // namespace redwinggw::standin
