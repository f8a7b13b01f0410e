#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

/// Client for the endpoint protocol; the only place that knows how databases
/// are reached. docs/ENDPOINTS.md describes the protocol and the guarantees it
/// relies on.
namespace redwinggw::data {

enum class endpoint_role { Primary, Replica, Sealed };

/// One promotion in a group's history: entries after \p Start, up to the next
/// row's Start, were written in \p Term.
struct history_row {
  base::term_number Term = 0;
  base::log_position Start = 0;

  friend bool operator==(const history_row &, const history_row &) = default;
};

/// State that an endpoint reports about itself.
struct endpoint_state {
  base::endpoint_name Name;
  endpoint_role Role = endpoint_role::Replica;
  base::term_number Term = 0;
  /// Id of the failover order that began the term.
  std::string Order;
  base::log_position Received = 0;
  base::log_position Applied = 0;
  std::vector<history_row> History;
};

/// Name and address of an endpoint.
struct endpoint_address {
  base::endpoint_name Name;
  http::address Address;
};

struct statement {
  std::string Sql;
  boost::json::array Params;
};

/// Statements to run in one transaction.
struct run_request {
  bool Begin = false;
  bool ReadOnly = false;
  bool Commit = false;
  bool Rollback = false;
  /// The endpoint refuses the run unless it is the primary of this term.
  std::optional<base::term_number> ExpectTerm;
  std::vector<statement> Statements;
};

struct run_answer {
  /// One result per statement, as sent by the endpoint: columns, rows, changes.
  boost::json::array Results;
  base::log_position Position = 0;
  bool InTransaction = false;
  base::microseconds Busy{0};
  endpoint_state State;
};

/// Why an endpoint refused a run.
enum class refusal {
  None,
  NotPrimary,
  TermReplaced,
  ConnectionLimit,
  StatementFailed,
  UniqueKey,
  Busy,
  BadRequest,
};

struct run_failure {
  base::failure Failure;
  refusal Refusal = refusal::None;
  /// The endpoint's state, if it answered.
  std::optional<endpoint_state> State;
};

/// Opens a database connection on \p Client.
base::task<base::result<endpoint_state>>
connectEndpoint(http::client &Client, http::address Address,
                std::string Instance, base::instant Deadline);

/// Runs \p Request on a connected client. Exactly one member of the result is
/// set. A failure whose kind has the outcome "not run" proves that nothing ran.
struct run_result {
  std::optional<run_answer> Answer;
  run_failure Failed;
};
base::task<run_result> run(http::client &Client, const run_request &Request,
                           std::string Instance, base::instant Deadline);

/// Queries the endpoint's state; docs/ENDPOINTS.md describes WaitReceived.
struct status_request {
  base::log_position WaitReceived = 0;
  base::term_number Term = 0;
  base::milliseconds Timeout{0};
};
base::task<base::result<endpoint_state>> status(http::client &Client,
                                                status_request Request,
                                                std::string Instance,
                                                base::instant Deadline);

/// Seals the endpoint: it no longer commits or accepts log entries of terms
/// below \p Term.
base::task<base::result<endpoint_state>>
seal(http::client &Client, base::term_number Term, std::string Order,
     std::string Instance, base::instant Deadline);

/// Makes a sealed endpoint the primary of \p Term.
base::task<base::result<endpoint_state>>
promote(http::client &Client, base::term_number Term, std::string Order,
        std::vector<endpoint_address> Members, std::string Instance,
        base::instant Deadline);

/// Makes an endpoint a replica of \p Primary in \p Term.
base::task<base::result<endpoint_state>>
follow(http::client &Client, base::term_number Term, std::string Order,
       endpoint_address Primary, std::string Instance, base::instant Deadline);

/// The name of \p Role in the protocol and in status pages. Thread safe.
std::string_view roleName(endpoint_role Role);

} // namespace redwinggw::data
