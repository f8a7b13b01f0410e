#pragma once

#include "common/standin.hpp"
#include "endpoint/database.hpp"
#include "endpoint/faults.hpp"
#include "endpoint/replica.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Stand-in for one endpoint: implements docs/ENDPOINTS.md over HTTP.
namespace redwinggw::standin {

struct endpoint_options {
  base::endpoint_name Name;
  base::group_name Group;
  unsigned Slots = 5;
  unsigned Connections = 35;
  base::microseconds ConnectCost{0};
  endpoint_faults Faults;
  /// Starts as the primary of term 1, with these members and this schema.
  bool Primary = false;
  std::vector<data::endpoint_address> Members;
  std::vector<data::statement> Schema;
};

class endpoint_standin;

/// An open transaction on one database connection.
struct open_transaction {
  bool ReadOnly = false;
  /// Statements to append to the log at commit.
  std::vector<data::statement> Writes;
};

/// State of one connection. Closing it rolls back its transaction.
struct database_connection {
  explicit database_connection(std::shared_ptr<endpoint_standin> Endpoint,
                               std::uint64_t Id);
  database_connection(const database_connection &) = delete;
  database_connection &operator=(const database_connection &) = delete;
  ~database_connection();

  /// Shared because the server closes its connections after the endpoint's
  /// owner has released it.
  std::shared_ptr<endpoint_standin> Endpoint;
  std::uint64_t Id;
  /// Whether it counts against the connection limit.
  bool Connected = false;
  std::unique_ptr<database> Handle;
  std::unique_ptr<open_transaction> Transaction;
  /// Whether a change of term rolled back the transaction.
  bool Lost = false;
};

struct endpoint_counters {
  unsigned Connections = 0;
  unsigned MaxConnections = 0;
  unsigned Running = 0;
  unsigned MaxRunning = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Statements = 0;
};

/// Progress of one run, which is resumed after waiting for a lock.
struct run_progress {
  data::run_request Request;
  /// Begin and commit are implicit.
  bool AutoCommit = false;
  boost::json::array Results;
  base::microseconds Busy{0};
  base::log_position Position = 0;
  bool Committed = false;
};

/// Why a run did not succeed.
struct run_refusal {
  std::string_view Error;
  std::string Detail;
};

/// Result of one attempt at a run.
enum class attempt { Finished, Refused, Locked };

/// Used from one thread. Must be owned by a shared pointer.
class endpoint_standin : public std::enable_shared_from_this<endpoint_standin> {
public:
  endpoint_standin(boost::asio::any_io_executor Executor,
                   endpoint_options Options);

  /// The handler for an http::server.
  base::task<http::response> handle(http::connection &Connection,
                                    http::request Request);

private:
  friend struct database_connection;

  // Requests.
  base::task<std::optional<http::response>>
  perform(database_connection &Connection, const http::request &Request);
  base::task<http::response> connect(database_connection &Connection);
  base::task<http::response> status(const boost::json::object &Body);
  http::response order(const std::string &Target,
                       const boost::json::object &Body);
  http::response replicate(const boost::json::object &Body);
  http::response admin(const http::request &Request);
  http::response dump(const boost::json::object &Body);
  http::response withState(boost::json::object Body,
                           unsigned Status = StatusOk) const;
  http::response refuse(const run_refusal &Refusal) const;

  // Runs.
  base::task<http::response> run(database_connection &Connection,
                                 data::run_request Request);
  base::task<attempt> tryInSlot(database_connection &Connection,
                                run_progress &Progress, run_refusal &Refusal);
  attempt tryRun(database_connection &Connection, run_progress &Progress,
                 run_refusal &Refusal);
  attempt begin(database_connection &Connection, const run_progress &Progress,
                run_refusal &Refusal);
  attempt finish(database_connection &Connection, run_progress &Progress,
                 run_refusal &Refusal);
  std::optional<run_refusal> checkTerm(const data::run_request &Request,
                                       bool ReadOnly) const;
  static std::optional<run_refusal>
  checkShape(const database_connection &Connection,
             const data::run_request &Request);
  database &handleOf(database_connection &Connection);
  void appendEntry(std::vector<data::statement> Writes);

  // Term and log.
  void endTransactions();
  void becomePrimary(std::vector<data::endpoint_address> Members);
  void rebuild();
  base::log_position applyUntil(base::log_position End);
  base::task<void> applyLoop();
  base::task<void> shipTo(data::endpoint_address Member, std::uint64_t Epoch);
  base::task<bool> shipOnce(http::client &Client, data::endpoint_address Member,
                            base::log_position &Next);
  std::size_t shippable(base::log_position Next) const;
  base::task<void> shipPause(base::log_position Next);

  // Faults.
  base::task<bool> passInbound(database_connection &Connection, peer From);
  base::task<bool> passOutbound(database_connection &Connection, peer To);
  base::task<void> waitForFaultChange();
  bool isSilent(const database_connection &Connection) const;
  void disconnect(database_connection &Connection);

  boost::asio::any_io_executor Executor;
  endpoint_options Options;
  endpoint_faults Faults;
  replica Replica;
  endpoint_counters Counters;
  std::set<database_connection *> Connections;
  std::uint64_t LastConnection = 0;
  /// Number of times that the database was built; part of the database name.
  unsigned Generation = 0;
  std::unique_ptr<database> Applier;
  /// Incremented by each change of role; shipping loops of older epochs end.
  std::uint64_t ShipEpoch = 0;
  wait_list StateChanged;
  wait_list FaultsChanged;
  slot_queue Slots;
};

} // namespace redwinggw::standin
