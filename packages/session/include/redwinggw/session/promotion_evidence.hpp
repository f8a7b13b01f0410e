#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/log_point.hpp"

#include <optional>
#include <string>
#include <vector>

/// Which endpoint of a service may be promoted, and whether it has been, by
/// what the endpoints report of their logs and terms. Decisions without I/O.
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
  /// The term that it reports, and whether it reports to lead it.
  base::term_number Term = 0;
  bool Leads = false;
  /// It has the log of the primary that is being replaced, which has restarted
  /// under this name.
  bool HasPrimaryLog = false;
  /// Unless it answers, the others have all that it may have acknowledged.
  bool Covered = false;
};

struct promotion_rule {
  /// Replicas that hold a commit before it is acknowledged. With 0 an
  /// acknowledged commit may be on the old primary alone.
  unsigned SynchronousReplicas = 0;
  /// What the target must have received: all that the old primary reports.
  std::optional<log_point> Needed;
  /// The newest term that is agreed on. An endpoint of an older one did not
  /// follow that primary: its log may contain commits that were given up with
  /// the promotion, and that later reads did not see.
  base::term_number AgreedTerm = 0;
};

/// Whether the log of \p Target has every commit that was acknowledged before
/// the old primary was given up. Each of these is on the primary that
/// acknowledged it and on \p SynchronousReplicas others. So if \p Target lacks
/// one, more than \p SynchronousReplicas of the others have received more than
/// \p Target. One that has not answered may have, unless it is covered.
/// Preconditions: \p SynchronousReplicas is not 0, \p Target has answered, and
/// \p Holders contains every endpoint that may hold such a commit, the old
/// primary included. Thread safe.
bool holdsAcknowledged(const std::vector<log_holder> &Holders,
                       const log_holder &Target, unsigned SynchronousReplicas);

/// Whether \p Holder has answered and may be promoted by \p Rule. Precondition:
/// it is one of \p Holders. Thread safe.
bool isAcceptable(const std::vector<log_holder> &Holders,
                  const log_holder &Holder, const promotion_rule &Rule);

/// The endpoint to promote. Null while none is proven to hold all acknowledged
/// commits; with no synchronous replicas there is no such proof, and the most
/// advanced one of the agreed term is chosen. Of several that meet the rule,
/// one that is not draining is preferred. Thread safe.
const log_holder *chooseTarget(const std::vector<log_holder> &Holders,
                               const promotion_rule &Rule);

/// What was known of the terms when a promotion was ordered.
struct promotion_start {
  /// The newest term that was agreed on or that an endpoint of the service had
  /// reported.
  base::term_number Newest = 0;
  /// The target had reported to lead it: it has been promoted by an earlier
  /// order, or was never replaced.
  bool Led = false;
};

/// Precondition: \p Target is one of \p Holders. Thread safe.
promotion_start startOf(const std::vector<log_holder> &Holders,
                        const log_holder &Target, base::term_number AgreedTerm);

/// Whether no endpoint may still be of \p AgreedTerm: every one that could be
/// promoted has answered from an older term, and \p Primary, the agreed one,
/// has as well or is not \p Listed any more. Thread safe.
bool isTermLost(const std::vector<log_holder> &Holders,
                base::term_number AgreedTerm,
                const base::endpoint_name &Primary, bool Listed);

/// When the platform accepted a promotion order, and what else may still happen
/// to the service's databases.
struct order_times {
  base::instant Accepted;
  /// Until when orders of earlier claims may take effect.
  base::instant EarlierOrdersUntil;
  /// An accepted order takes effect within this time.
  base::milliseconds PromotionTime{0};
};

/// Whether the ordered promotion has taken effect, by the target's \p Status
/// that was requested at \p Asked. The role alone does not tell: an endpoint
/// that was replaced keeps it until it reaches its successor. Nor does a new
/// term while an earlier order may still make another endpoint lead a later
/// one. An order for the endpoint that leads already has no effect, so one that
/// had led is given the time of a promotion to report a new term. Thread safe.
bool hasTakenEffect(const promotion_start &Start, const endpoint_status &Status,
                    base::instant Asked, const order_times &Times);

/// Text for logs: each endpoint with what it has received. Thread safe.
std::string describe(const std::vector<log_holder> &Holders);

} // namespace redwinggw::session
