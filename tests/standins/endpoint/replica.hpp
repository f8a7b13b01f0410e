#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <string>
#include <vector>

/// Terms, seals and the log of one stand-in endpoint, without I/O. Implements
/// rules 1 to 3 of docs/ENDPOINTS.md. Not thread safe.
namespace redwinggw::standin {

/// The failover order that every endpoint of a new group starts with, in
/// term 1.
constexpr const char *InitialOrder = "initial";

/// One committed transaction that wrote.
struct log_entry {
  base::term_number Term = 0;
  std::vector<data::statement> Statements;
  /// When it was committed or received here.
  base::instant At;
};

struct replica {
  base::endpoint_name Name;
  base::group_name Group;
  data::endpoint_role Role = data::endpoint_role::Replica;
  base::term_number Term = 1;
  std::string Order = InitialOrder;
  /// History of the local log; rows that start beyond its end are left out.
  std::vector<data::history_row> History{{1, 0}};
  std::vector<log_entry> Log;
  base::log_position Applied = 0;
  /// False from "follow" until the first log message of the new primary: until
  /// then it is unknown which local entries are in that primary's history.
  bool Verified = true;
};

/// Log entries sent by a primary to a replica.
struct replicate_message {
  base::term_number Term = 0;
  std::string Order;
  std::vector<data::history_row> History;
  /// Length of the primary's log.
  base::log_position Received = 0;
  /// Position after which Entries start.
  base::log_position From = 0;
  std::vector<log_entry> Entries;
};

/// Result of receiving a log message.
struct replicate_outcome {
  bool Accepted = false;
  /// Local entries were dropped that are already applied to the database, so it
  /// must be rebuilt from the log.
  bool Rebuild = false;
};

/// The state that the endpoint reports. A replica that is not verified reports
/// an empty log, because its positions may belong to a lost branch.
data::endpoint_state stateOf(const replica &Replica);

/// Each returns false and changes nothing if the rules refuse the order.
bool seal(replica &Replica, base::term_number Term, const std::string &Order);
bool promote(replica &Replica, base::term_number Term,
             const std::string &Order);
bool follow(replica &Replica, base::term_number Term, const std::string &Order);

/// Appends log entries from the primary of the replica's current term; \p Now
/// is recorded as the time of their receipt.
replicate_outcome receive(replica &Replica, replicate_message Message,
                          base::instant Now);

/// Whether the replica confirms a write, that is, whether it has the log of
/// \p Term up to \p Position. A sealed endpoint confirms nothing.
bool confirms(const replica &Replica, base::term_number Term,
              base::log_position Position);

} // namespace redwinggw::standin
