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

/// What serving statements needs of the other services, and what all paths of
/// a statement share.
namespace redwinggw::data {

/// The other services as functions, so that tests can take their place.
struct statement_ports {
  /// The configuration in force. The reference lives until it changes.
  std::function<const control::configuration &()> Configuration;
  /// Whether this instance's configuration is current enough to serve.
  std::function<bool()> MayServe;
  /// Counts one request against the customer's rate and burst.
  std::function<base::task<base::result<void>>(base::customer_name,
                                               base::instant)>
      Admit;
  /// What is known of a group; null when there is none of that name.
  std::function<const group_view *(std::string_view)> View;
  /// Waits until a majority holds a position in a term.
  std::function<base::task<base::result<void>>(
      base::group_name, base::term_number, base::log_position, base::instant,
      confirm_kind)>
      Confirm;
  /// Waits until the group has a primary.
  std::function<base::task<base::result<void>>(base::group_name, base::instant)>
      AwaitPrimary;
  /// Tells the failure detector how a request to an endpoint went.
  std::function<void(std::string_view Group, std::string_view Endpoint,
                     bool Answered, base::instant At)>
      NoteTraffic;
  /// Tells what came with an answer to a request sent at that time. Answers
  /// come far more often than polls, so that positions and ages are finer.
  std::function<void(std::string_view Group, const endpoint_state &State,
                     base::instant AskedAt)>
      NoteState;
  /// Adds an event to the time line.
  std::function<void(base::event_kind, std::string_view Subject,
                     std::string_view Detail, std::string_view RequestId)>
      Record;
};

/// Counters of statements; read by the metrics.
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
  /// A single try at an endpoint is given up after this time.
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
  /// Changes of the configuration so far. Versions do not do: a withdrawal of
  /// unknown outcome takes a key out of force under the same version.
  std::uint64_t ConfigurationChanges = 0;
};

/// One request of a caller on its way.
struct call {
  base::customer_name Customer;
  std::string KeyId;
  std::string KeyDigest;
  /// Number of the change of the configuration after which the key was last
  /// found in force; 0: not yet.
  std::uint64_t KeyCheckedAt = 0;
  caller_request Request;
  base::group_name Group;
  base::milliseconds MaxAge{0};
  session_kind SessionKind = session_kind::Missing;
  session_state Session;
  base::instant Deadline;
};

/// Makes the dispatchers match \p Configuration. Each instance may open the
/// endpoint's connections divided by \p Instances, at least one.
void applyConfiguration(statement_core &Core,
                        const control::configuration &Configuration,
                        std::size_t Instances);

/// Whether the key that came with \p Call is still in force. Asked again after
/// each wait: a withdrawal must reach requests that queue already.
bool isKeyInForce(const statement_core &Core, call &Call);

/// Whether \p Call may still run: this instance's configuration is current and
/// the key is in force in it. Asked right before each run: the process may have
/// been paused, and the key withdrawn, while the request waited.
base::result<void> mayStillRun(const statement_core &Core, call &Call);

/// Runs \p Request at \p Target in its turn, on a connection of its own.
base::task<run_result> runAt(statement_core &Core,
                             std::shared_ptr<dispatcher> Target, call &Call,
                             run_request Request);

/// The dispatcher of the group's primary, null when none is known.
std::shared_ptr<dispatcher> primaryOf(const statement_core &Core,
                                      const group_view &View);

/// Waits for the group's primary; the view with a primary known.
base::task<base::result<const group_view *>> awaitPrimary(statement_core &Core,
                                                          const call &Call);

/// Waits before try number \p Try, or says why there is none: the budget is
/// used up or the deadline is too near. Then the final answer goes out at once.
/// While the group has no primary that answers, the request stays parked.
base::task<base::result<void>> awaitRetry(statement_core &Core,
                                          const call &Call, unsigned Try,
                                          const base::failure &Last);

/// The session's token after \p Position has been seen.
std::string tokenAfter(const statement_core &Core, call &Call,
                       base::term_number Term, base::log_position Position);

/// Serves a single read.
base::task<base::result<caller_answer>> serveRead(statement_core &Core,
                                                  call Call);

/// Serves a single write, recorded under its request id.
base::task<base::result<caller_answer>> serveWrite(statement_core &Core,
                                                   call Call);

/// Tells what became of a request; cancels it when it has not run.
base::task<base::result<caller_answer>> serveOutcome(statement_core &Core,
                                                     call Call);

/// A record, or the lack of one, as a majority holds it.
struct found_record {
  std::optional<request_record> Record;
  base::term_number Term = 0;
  base::log_position Position = 0;
};

/// Reads the record of a request at the primary and confirms it.
base::task<base::result<found_record>>
readRecord(statement_core &Core, call &Call, const request_identity &Identity);

/// Names the request of \p Call.
request_identity identityOf(const call &Call);

/// The answer that a record gives to a repeat of its request.
base::result<caller_answer> answerOf(const request_record &Record,
                                     const request_identity &Identity);

/// Deletes a bounded number of expired records at each group's primary. Any
/// instance may do so at any time; records that still count are not touched.
base::task<void> deleteExpiredRecords(statement_core &Core);

} // namespace redwinggw::data
