#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/metrics.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/timeline.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/data/caller_message.hpp"
#include "redwinggw/data/confirm.hpp"
#include "redwinggw/data/dispatcher.hpp"
#include "redwinggw/data/group_view.hpp"
#include "redwinggw/data/request_record.hpp"
#include "redwinggw/data/retry_policy.hpp"
#include "redwinggw/data/routing.hpp"
#include "redwinggw/data/session_token.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

/// State and functions shared by the read, write and transaction paths of a
/// statement, and what they need of the other services.
namespace redwinggw::data {

/// The other services as functions, so that tests can replace them.
struct statement_ports {
  /// The configuration in force. The reference is valid until it changes.
  std::function<const control::configuration &()> Configuration;
  /// Whether this instance's configuration is recent enough to serve.
  std::function<bool()> MayServe;
  /// Takes a token of the customer's rate and burst; waits for one until the
  /// deadline.
  std::function<base::task<base::result<void>>(base::customer_name,
                                               base::instant)>
      Admit;
  /// The view of a group; null when there is no such group.
  std::function<const group_view *(std::string_view)> View;
  /// Waits until a majority holds a position in a term.
  std::function<base::task<base::result<void>>(
      base::group_name, base::term_number, base::log_position, base::instant,
      confirm_kind)>
      Confirm;
  /// Waits until the group has a primary.
  std::function<base::task<base::result<void>>(base::group_name, base::instant)>
      AwaitPrimary;
  /// Passes the result of a request to the failure detector.
  std::function<void(std::string_view Group, std::string_view Endpoint,
                     bool Answered, base::instant At)>
      NoteTraffic;
  /// Passes the state that came with an answer to a request sent at that time.
  /// Answers are far more frequent than polls, so positions and ages are more
  /// accurate.
  std::function<void(std::string_view Group, const endpoint_state &State,
                     base::instant AskedAt)>
      NoteState;
  /// Adds an event to the timeline.
  std::function<void(base::event_kind, std::string_view Subject,
                     std::string_view Detail, std::string_view RequestId)>
      Record;
};

/// Statement counters, exported as metrics.
struct statement_counters {
  std::uint64_t Requests = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReadsAllowed = 0;
  std::uint64_t ReadsAtReplica = 0;
  std::uint64_t ReplicaMisses = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Retries = 0;
  std::uint64_t RetriesRefused = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
};

struct statement_settings {
  std::string Instance;
  base::zone_name Zone;
  std::string FleetKey;
  routing_settings Routing;
  queue_settings Queue;
  /// Timeout of a single try at an endpoint.
  base::milliseconds TryTimeout{1000};
};

/// State shared by all paths of a statement. Used from one thread.
struct statement_core {
  boost::asio::any_io_executor Executor;
  statement_settings Settings;
  statement_ports Ports;
  std::map<base::endpoint_name, std::shared_ptr<dispatcher>, std::less<>>
      Dispatchers;
  retry_budget Budget;
  statement_counters Counters;
  base::metrics Metrics;
  std::minstd_rand Random{std::random_device{}()};
  bool Draining = false;
  /// Number of configuration changes so far. The version cannot be used
  /// instead: a withdrawal of unknown outcome revokes a key under the same
  /// version.
  std::uint64_t ConfigurationChanges = 0;
};

/// One caller request while it is served.
struct call {
  base::customer_name Customer;
  std::string KeyId;
  std::string KeyDigest;
  /// Value of ConfigurationChanges when the key was last found in force; 0: not
  /// checked yet.
  std::uint64_t KeyCheckedAt = 0;
  caller_request Request;
  base::group_name Group;
  base::milliseconds MaxAge{0};
  session_kind SessionKind = session_kind::Missing;
  session_state Session;
  base::instant Deadline;
};

/// Creates and removes dispatchers to match \p Configuration. Each instance may
/// open the endpoint's connections divided by \p Instances, but at least one.
void applyConfiguration(statement_core &Core,
                        const control::configuration &Configuration,
                        std::size_t Instances);

/// Whether the key that came with \p Call is still in force. Checked again
/// after each wait, so that a withdrawal also stops requests that are queued.
bool isKeyInForce(const statement_core &Core, call &Call);

/// Whether \p Call may still run: this instance's configuration is recent
/// enough and the key is in force in it. Checked right before each run, because
/// the process may have been paused and the key withdrawn while the request
/// waited.
base::result<void> mayStillRun(const statement_core &Core, call &Call);

/// Queues \p Request at \p Target and runs it on a connection of its own.
base::task<run_result> runAt(statement_core &Core,
                             std::shared_ptr<dispatcher> Target, call &Call,
                             run_request Request);

/// The dispatcher of the group's primary, null when the primary is unknown.
std::shared_ptr<dispatcher> primaryOf(const statement_core &Core,
                                      const group_view &View);

/// Waits until the group has a primary; returns the view with that primary.
base::task<base::result<const group_view *>> awaitPrimary(statement_core &Core,
                                                          const call &Call);

/// Waits before try number \p Try. Fails with \p Last at once when the retry
/// budget is used up or the deadline is too near. While no primary of the group
/// answers, the request keeps waiting until its deadline.
base::task<base::result<void>> awaitRetry(statement_core &Core,
                                          const call &Call, unsigned Try,
                                          const base::failure &Last);

/// Token of the session after it has seen \p Position.
std::string tokenAfter(const statement_core &Core, call &Call,
                       base::term_number Term, base::log_position Position);

/// Serves a single read statement.
base::task<base::result<caller_answer>> serveRead(statement_core &Core,
                                                  call Call);

/// Serves a single write statement, recorded under its request id.
base::task<base::result<caller_answer>> serveWrite(statement_core &Core,
                                                   call Call);

/// Returns the outcome of a request; cancels the request if it has not run.
base::task<base::result<caller_answer>> serveOutcome(statement_core &Core,
                                                     call Call);

/// A record, or its absence, as confirmed by a majority.
struct found_record {
  std::optional<request_record> Record;
  base::term_number Term = 0;
  base::log_position Position = 0;
};

/// Reads the record of a request at the primary and has a majority confirm it.
base::task<base::result<found_record>>
readRecord(statement_core &Core, call &Call, const request_identity &Identity);

/// The identity of the request of \p Call.
request_identity identityOf(const call &Call);

/// The answer to a retry of a request that has \p Record.
base::result<caller_answer> answerOf(const request_record &Record,
                                     const request_identity &Identity);

/// Deletes a bounded number of expired records at each group's primary. Any
/// instance may do so at any time; records within their retention stay.
base::task<void> deleteExpiredRecords(statement_core &Core);

} // namespace redwinggw::data
