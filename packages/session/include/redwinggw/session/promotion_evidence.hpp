#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/session/log_point.hpp"

#include <optional>
#include <string>
#include <vector>

/// Which endpoint of a service may be promoted, by what its endpoints have
/// reported of their logs. Decisions without I/O.
namespace redwinggw::session {

/// An endpoint of a service that may hold acknowledged commits, as the orderer
/// of a promotion knows it.
struct log_holder {
  base::endpoint_name Name;
  /// It may become the primary: it is listed, it is not the primary that is
  /// being replaced, and its availability zone is not evacuated.
  bool Eligible = false;
  bool Draining = false;
  /// The last log entry that it has received; nothing while it has not
  /// answered.
  std::optional<log_point> Received;
};

struct promotion_rule {
  /// Replicas that hold a commit before it is acknowledged. With 0 an
  /// acknowledged commit may be on the old primary alone.
  unsigned SynchronousReplicas = 0;
  /// What the target must have received: all that the old primary reports.
  std::optional<log_point> Needed;
};

/// Whether the log of \p Target has every commit that was acknowledged before
/// the old primary was given up. Each of these is on the primary that
/// acknowledged it and on \p SynchronousReplicas others. So if \p Target lacks
/// one, more than \p SynchronousReplicas of the others have received more than
/// \p Target. One that has not answered may have.
/// Preconditions: \p SynchronousReplicas is not 0, \p Target has answered, and
/// \p Holders contains every endpoint that may hold such a commit, the old
/// primary included. Thread safe.
bool holdsAcknowledged(const std::vector<log_holder> &Holders,
                       const log_holder &Target, unsigned SynchronousReplicas);

/// The endpoint to promote. Null while none is proven to hold all acknowledged
/// commits; with no synchronous replicas there is no such proof, and the most
/// advanced one that has answered is chosen. Of several that meet
/// the rule, one that is not draining is preferred. Thread safe.
const log_holder *chooseTarget(const std::vector<log_holder> &Holders,
                               const promotion_rule &Rule);

/// Text for logs: each endpoint with what it has received. Thread safe.
std::string describe(const std::vector<log_holder> &Holders);

} // namespace redwinggw::session
