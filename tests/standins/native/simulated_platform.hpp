#pragma once

#include "common/throttled_proxy.hpp"
#include "native/database_group.hpp"
#include "native/database_server.hpp"
#include "native/row_table.hpp"

#include "redwinggw/http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// Simulation of the users' platform in the test process: store, databases and
/// promotions, served by a separate thread.
namespace redwinggw::standin {

/// A received request to promote a database.
struct promotion {
  std::string Database;
  std::string Orderer;
};

class simulated_platform {
public:
  /// One service "s" with the databases d1 (primary), d2 and d3.
  simulated_platform();
  simulated_platform(const simulated_platform &) = delete;
  simulated_platform &operator=(const simulated_platform &) = delete;
  ~simulated_platform();

  /// Runs \p Work on the platform's thread and waits for it to return.
  void runOnThread(const std::function<void(simulated_platform &)> &Work);

  /// Stops \p Name; its entry in the store stays, as after a crash.
  void crash(const std::string &Name);
  /// Stops \p Name and removes its entry.
  void leave(const std::string &Name);
  /// Starts \p Name again with the log that it had.
  void restart(const std::string &Name);
  /// Acknowledges commits only once a replica has received them.
  void replicateSynchronously();
  /// Marks \p Name as draining in the store.
  void drain(const std::string &Name);
  /// Moves \p Name to another availability zone.
  void placeIn(const std::string &Name, const std::string &Zone);
  /// Begins and ends the evacuation of \p Zone, as an operator does.
  /// @{
  void evacuate(const std::string &Zone);
  void endEvacuation(const std::string &Zone);
  /// @}
  /// Publishes that \p Name is cold for \p Remaining.
  void makeCold(const std::string &Name, base::milliseconds Remaining);
  /// Publishes a configuration with these keys of the customer "acme" and with
  /// \p UnusedRoutes additional routes that no request uses.
  void configure(const std::vector<std::string> &Keys, double Rate = 1000,
                 std::size_t UnusedRoutes = 0);

  http::address StoreAddress;
  /// A second address of the same store, which can fail independently.
  http::address SecondStoreAddress;
  http::address PromotionAddress;

  /// \name For use in runOnThread() only
  /// @{
  row_table Store;
  bool SecondStoreDown = false;
  std::unique_ptr<throttled_proxy> SecondStoreProxy;
  database_group Group;
  std::vector<promotion> Promotions;
  /// Time from an order until the database leads.
  base::milliseconds PromotionTime{0};
  /// @}

private:
  void publish(const simulated_database &Database);
  void publishAll();
  base::task<void> promoteLater(std::string Name);
  http::response handlePromotion(const http::request &Request);

  boost::asio::io_context Context;
  std::vector<std::unique_ptr<database_server>> Servers;
  http::server StoreServer;
  http::server SecondStoreServer;
  http::server PromotionServer;
  unsigned ConfigurationVersion = 1;
  std::thread Thread;
};

} // namespace redwinggw::standin
