#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <string>
#include <vector>

/// Terms, seals and the log of one stand-in endpoint, without I/O: the rules
/// 1 to 3 of docs/ENDPOINTS.md. Not thread safe.
namespace redwinggw::standin {

/// The order that every endpoint of a new group starts with, in term 1.
constexpr const char *InitialOrder = "initial";

/// One committed transaction with writes.
struct log_entry {
  base::term_number Term = 0;
  std::vector<data::statement> Statements;
  /// When it was committed here or received.
  base::instant At;
};

struct replica {
  base::endpoint_name Name;
  base::group_name Group;
  data::endpoint_role Role = data::endpoint_role::Replica;
  base::term_number Term = 1;
  std::string Order = InitialOrder;
  /// History of the own log; rows whose start lies beyond it are left out.
  std::vector<data::history_row> History{{1, 0}};
  std::vector<log_entry> Log;
  base::log_position Applied = 0;
  /// False from "follow" until the first log message of the new primary: it
  /// is not known yet which own entries are in that primary's history.
  bool Verified = true;
};

/// Log on its way from a primary to a replica.
struct replicate_message {
  base::term_number Term = 0;
  std::string Order;
  std::vector<data::history_row> History;
  /// Length of the primary's log.
  base::log_position Received = 0;
  /// Position after which Entries begin.
  base::log_position From = 0;
  std::vector<log_entry> Entries;
};

/// What an endpoint did with a log message.
struct replicate_outcome {
  bool Accepted = false;
  /// Own entries were dropped that are in the database already, so it must be
  /// built anew from the log.
  bool Rebuild = false;
};

/// What the endpoint tells about itself. A replica that has not been verified
/// shows an empty log, because its positions may be of a lost branch.
data::endpoint_state stateOf(const replica &Replica);

/// Each returns false, and changes nothing, when the rules refuse the order.
bool seal(replica &Replica, base::term_number Term, const std::string &Order);
bool promote(replica &Replica, base::term_number Term,
             const std::string &Order);
bool follow(replica &Replica, base::term_number Term, const std::string &Order);

/// Takes log of the primary of the replica's own term; \p Now becomes the time
/// at which the entries were received.
replicate_outcome receive(replica &Replica, replicate_message Message,
                          base::instant Now);

/// Whether the replica has the log of \p Term up to \p Position: what confirms
/// a write. A sealed endpoint confirms nothing.
bool confirms(const replica &Replica, base::term_number Term,
              base::log_position Position);

} // namespace redwinggw::standin
