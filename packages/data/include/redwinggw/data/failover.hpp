#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"
#include "redwinggw/data/group_view.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// State machine of one failover of one replica group, without I/O: claims a
/// term in the table service, seals a majority of the members, promotes the
/// most advanced one and records it. docs/FAILOVER.md gives the protocol and
/// its reasons.
namespace redwinggw::data {

/// Timeouts, and safety checks that tests switch off to show that each is
/// needed.
struct failover_parameters {
  /// A failover order without progress in one step for this long is given up;
  /// the next order claims a higher term.
  base::milliseconds StepTimeout{3000};
  /// How long to wait for the members that are not sealed yet when the majority
  /// is only reached with the suspected primary.
  base::milliseconds SealGrace{150};
  /// How long an unfinished order of another instance is left alone.
  base::milliseconds OtherOrderTimeout{1000};
  bool ConditionalClaim = true;
  bool ReadBackOwnOrder = true;
  bool SealMajority = true;
  bool ChooseMostAdvanced = true;
};

enum class record_state { Ordering, Done };

/// The row "group/NAME" in the table service.
struct failover_record {
  base::term_number Term = 0;
  std::string Order;
  base::instance_name Orderer;
  record_state State = record_state::Ordering;
  /// The promoted member; empty until it is known.
  base::endpoint_name Primary;

  friend bool operator==(const failover_record &,
                         const failover_record &) = default;
};

/// A record as read; version 0 and no record when the row does not exist.
struct versioned_record {
  std::uint64_t Version = 0;
  std::optional<failover_record> Record;
};

/// The row's key. Thread safe.
std::string recordKey(std::string_view Group);

/// Converts the row's value to JSON and back. Parsing fails with
/// errc::BadMessage. Thread safe.
std::string toText(const failover_record &Record);
base::result<failover_record> parseRecord(std::string_view Text);

/// Input of a failover order.
struct failover_plan {
  base::instance_name Orderer;
  /// Unique for each order.
  std::string Order;
  std::vector<endpoint_address> Members;
  /// The suspected primary, if known.
  std::optional<base::endpoint_name> Suspected;
  /// Highest term that any member reported.
  base::term_number SeenTerm = 0;
  /// The row as read before the order started.
  versioned_record Row;
};

enum class failover_step {
  Idle,
  Claiming,
  Resolving,
  Sealing,
  Promoting,
  Recording,
  Done,
  /// Another order has a higher term, or this order lost the claim.
  Superseded,
  GivenUp,
};

/// \name Events
/// @{
struct order_started {
  base::instant Now;
};
/// The primary is no longer suspected, and the claim was not yet known to be
/// stored.
struct order_abandoned {};
enum class commit_outcome { Stored, Conflict, Unknown };
struct row_committed {
  commit_outcome Outcome = commit_outcome::Unknown;
  /// The row's new version if the commit was stored.
  std::uint64_t Version = 0;
};
/// Result of read_row; empty when the store did not answer.
struct row_read {
  std::optional<versioned_record> Row;
};
enum class member_request { Seal, Promote };
/// A member's answer to seal or promote; empty when it did not answer.
struct member_answered {
  base::endpoint_name Member;
  member_request Request = member_request::Seal;
  std::optional<endpoint_state> State;
  /// The member refused because it has a higher term or another order.
  bool Refused = false;
};
struct time_passed {
  base::instant Now;
};
using failover_event =
    std::variant<order_started, order_abandoned, row_committed, row_read,
                 member_answered, time_passed>;
/// @}

/// \name Commands
/// @{
/// Commit \p Record if the row still has \p Version (no check if empty).
struct commit_row {
  std::optional<std::uint64_t> Version;
  failover_record Record;
};
struct read_row {};
struct seal_member {
  endpoint_address Member;
  base::term_number Term = 0;
  std::string Order;
};
struct promote_member {
  endpoint_address Member;
  base::term_number Term = 0;
  std::string Order;
  std::vector<endpoint_address> Others;
};
struct follow_member {
  endpoint_address Member;
  base::term_number Term = 0;
  std::string Order;
  endpoint_address Primary;
};
using failover_command = std::variant<commit_row, read_row, seal_member,
                                      promote_member, follow_member>;
/// @}

/// State of a failover order; plain data that the state machine works on.
struct failover_order {
  failover_parameters Parameters;
  failover_plan Plan;
  base::term_number Term = 0;
  base::instant Now;
  base::instant StepSince;
  std::vector<endpoint_state> Sealed;
  /// Members with a request in flight.
  std::set<base::endpoint_name> InFlight;
  bool CommitOpen = false;
  bool ReadOpen = false;
  /// Whether a member refused because it has a higher term or another order.
  bool Refused = false;
  std::optional<versioned_record> RowRead;
  commit_outcome Commit = commit_outcome::Unknown;
  /// Version of the row that holds this order's claim, once known.
  std::optional<std::uint64_t> OwnVersion;
  base::endpoint_name Chosen;
  bool Promoted = false;
};

/// The term of the last entry in \p State's log; 0 when the log is empty.
base::term_number lastEntryTerm(const endpoint_state &State);

/// Chooses the member to promote from \p Sealed, a majority of \p Members: the
/// one with the most advanced log. The suspected primary is left out if the
/// others are a majority by themselves. Precondition: Sealed is not empty.
const endpoint_state &
chooseMember(const std::vector<endpoint_state> &Sealed, std::size_t Members,
             const std::optional<base::endpoint_name> &Suspected,
             const failover_parameters &Parameters);

/// When this instance first saw the row in its current version, by its own
/// clock.
struct row_watch {
  std::uint64_t Version = 0;
  base::instant FirstSeen;
};

/// Whether a new order may claim a term over \p Row. An unfinished order of
/// another instance is left alone for OtherOrderTimeout; after that its orderer
/// is presumed dead. \p NoPrimarySince is the time since which the view's
/// highest term has had no primary.
bool mayClaim(row_watch &Watch, const versioned_record &Row,
              const group_view &View,
              std::optional<base::instant> NoPrimarySince,
              const failover_parameters &Parameters, base::instant Now);

/// The members that must be told to follow the group's primary: a replaced
/// primary, a member that was unreachable, or one that was sealed but not
/// promoted.
std::vector<follow_member> membersToReconcile(const group_view &View);

/// The state machine of one failover order. Not thread safe.
class failover {
public:
  failover(failover_plan Plan, failover_parameters Parameters);
  failover(failover &&) noexcept;
  failover &operator=(failover &&) noexcept;
  ~failover();

  /// Processes \p Event and returns the commands to execute. Each command is
  /// answered by an event, except follow_member, which needs none.
  std::vector<failover_command> process(const failover_event &Event);

  failover_step step() const;
  const failover_order &order() const;

private:
  struct machine;
  std::unique_ptr<machine> Machine;
};

/// Whether \p Step is final.
bool isFinal(failover_step Step);

/// The name of \p Step for log lines. Thread safe.
std::string_view stepName(failover_step Step);

} // namespace redwinggw::data
