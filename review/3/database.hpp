#pragma once

#include "store.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Stand-ins of the databases of one service, as PROTOCOL.md describes them.
/// Not thread safe.
namespace review {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
template <typename Value = void> using task = asio::awaitable<Value>;
constexpr auto Token = asio::as_tuple(asio::use_awaitable);

task<> pause(ms Time);

/// A commit.
struct log_entry {
  std::string Id;
  std::string Item;
  std::string Data;
};
using log_entry_ptr = std::shared_ptr<const log_entry>;

struct group;

struct database : std::enable_shared_from_this<database> {
  database(asio::io_context &Context, group &Group, std::string Name,
           std::string Zone);

  /// Starts to listen, at the same address each time.
  void start();
  /// Closes all connections and the listening socket. The log is kept.
  void crash();
  /// Loses power for good: nothing is answered, and connecting hangs.
  void goDark();
  std::string position() const;

  asio::io_context &Context;
  group &Group;
  std::string Name;
  std::string Zone;
  tcp::endpoint Address;
  bool Up = false;
  bool Dark = false;
  /// Connections that fill the queue of the listening socket.
  std::vector<std::unique_ptr<tcp::socket>> Fillers;
  bool Primary = false;
  unsigned Term = 1;
  /// It has announced that it shuts down. It receives until it has ended.
  bool Draining = false;
  /// It receives nothing from the primary.
  bool Deaf = false;
  /// Time over the network from the primary.
  ms Delay{1};
  std::vector<log_entry_ptr> Log;
  std::vector<steady::time_point> ReceivedAt;
  std::uint64_t Sequence = 0;
  steady::time_point LastBeat;
  std::set<std::shared_ptr<tcp::socket>> Sockets;
  std::unique_ptr<tcp::acceptor> Acceptor;
  unsigned Generation = 0;
};

/// The databases of a service.
struct group {
  explicit group(asio::io_context &Context) : Context(Context) {}

  database &add(std::string Name, std::string Zone);
  database *find(std::string_view Name);
  /// The database that the last promotion, or the start, made the primary.
  database &current() { return *find(Current); }
  /// Begins a promotion; false if the database is not running.
  bool promote(const std::string &Name);
  /// Whether the present primary, or a database, has the commit.
  static bool has(const database &Database, std::string_view Id);
  /// Follows the primary, registers the databases, until the process ends.
  task<> run(store &Store);

  asio::io_context &Context;
  std::string Service = "order-ledger";
  std::vector<std::shared_ptr<database>> Databases;
  std::string Current;
  unsigned Term = 1;
  unsigned SyncReplicas = 0;
  ms HeartbeatInterval{1200};
  ms NewConnection{12};
  ms Work{11};
  ms Lag{8};
  ms PromoteTime{300};
  /// Called when a connection says who connects.
  std::function<void(database &, const std::string &Who)> OnStart;
  /// Called when a write has been committed, before its answer is sent.
  std::function<void(database &, const log_entry &)> OnCommit;
  /// Called when a promotion takes effect.
  std::function<void(database &Old, database &New)> OnPromoted;
  /// Called for each request of a connection: with its id and whole text.
  std::function<void(database &, const std::string &Id,
                     const std::string &Text)>
      OnRequest;
  /// Called for each statement that is run: with its id and text.
  std::function<void(database &, const std::string &Id,
                     const std::string &Text)>
      OnRun;

  void replicate(database &From, std::size_t Count);
  void follow(database &Replica, database &From, std::size_t Count);
  bool received(const database &From, std::size_t Count) const;
};

} // namespace review
