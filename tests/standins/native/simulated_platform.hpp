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

/// The users' platform in one process: store, databases and promotions, served
/// by a thread of its own.
namespace redwinggw::standin {

/// An order to promote a database, as it arrived.
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

  /// Runs \p Work on the world's thread and waits for it.
  void runOnThread(const std::function<void(simulated_platform &)> &Work);

  /// Stops \p Name: its entry stays for a while, as after a crash.
  void crash(const std::string &Name);
  /// Lets \p Name announce that it leaves.
  void drain(const std::string &Name);
  /// Puts a configuration with these keys of the customer "acme" in force, and
  /// with so many routes that nobody uses.
  void configure(const std::vector<std::string> &Keys, double Rate = 1000,
                 std::size_t UnusedRoutes = 0);

  http::address StoreAddress;
  /// The same store by another way, which can be closed by itself.
  http::address SecondStoreAddress;
  http::address PromotionAddress;

  /// \name For use in runOnThread() only
  /// @{
  row_table Store;
  bool SecondStoreDown = false;
  std::unique_ptr<throttled_proxy> SecondStoreProxy;
  database_group Group;
  std::vector<promotion> Promotions;
  /// @}

private:
  void publish(const simulated_database &Database);
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
