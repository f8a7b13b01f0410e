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

/// One failover of one group, as decisions without I/O: claim a term in the
/// table service, seal a majority, promote the most advanced, record it.
/// docs/FAILOVER.md gives the protocol and its reasons.
namespace redwinggw::data {

/// Times, and guards that tests switch off to prove that they are needed.
struct failover_parameters {
  /// An order that did not get on in one step for so long is given up; the
  /// next order takes a higher term.
  base::milliseconds StepTimeout{3000};
  /// How long the unsealed members are waited for when the majority is only
  /// reached with the suspected primary.
  base::milliseconds SealGrace{150};
  /// Time for which an order of another instance is left alone.
  base::milliseconds OtherOrderTimeout{1000};
  bool ConditionalClaim = true;
  bool ReadBackOwnOrder = true;
  bool SealMajority = true;
  bool ChooseMostAdvanced = true;
};

enum class record_state { Ordering, Done };

/// The row "group/NAME" of the table service.
struct failover_record {
  base::term_number Term = 0;
  std::string Order;
  base::instance_name Orderer;
  record_state State = record_state::Ordering;
  /// The promoted member, once it is known.
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

/// The row's value as JSON and back. Reading fails with errc::BadMessage.
/// Thread safe.
std::string toText(const failover_record &Record);
base::result<failover_record> parseRecord(std::string_view Text);

/// What an order is about.
struct failover_plan {
  base::instance_name Orderer;
  /// Unique for each order.
  std::string Order;
  std::vector<endpoint_address> Members;
  /// The suspected primary, if it is known.
  std::optional<base::endpoint_name> Suspected;
  /// Highest term that any member told.
  base::term_number SeenTerm = 0;
  /// The row as it was read before the order.
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
  /// Another order has a higher term, or this one lost the claim.
  Superseded,
  GivenUp,
};

/// \name Events
/// @{
struct order_started {
  base::instant Now;
};
/// The suspicion ended before the claim was known to be taken.
struct order_abandoned {};
enum class commit_outcome { Taken, Conflict, Unknown };
struct row_committed {
  commit_outcome Outcome = commit_outcome::Unknown;
  /// The row's new version, when it was taken.
  std::uint64_t Version = 0;
};
/// Answer to read_row; empty when the store did not answer.
struct row_read {
  std::optional<versioned_record> Row;
};
enum class member_request { Seal, Promote };
/// Answer of a member; empty when it did not answer.
struct member_answered {
  base::endpoint_name Member;
  member_request Request = member_request::Seal;
  std::optional<endpoint_state> State;
  /// It refused because of a higher term or another order.
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

/// What an order knows. Plain data behind the machine.
struct failover_order {
  failover_parameters Parameters;
  failover_plan Plan;
  base::term_number Term = 0;
  base::instant Now;
  base::instant StepSince;
  std::vector<endpoint_state> Sealed;
  /// Members with an open request.
  std::set<base::endpoint_name> Asked;
  bool CommitOpen = false;
  bool ReadOpen = false;
  /// Whether a member refused because of a higher term or another order.
  bool Refused = false;
  std::optional<versioned_record> RowRead;
  commit_outcome Commit = commit_outcome::Unknown;
  /// Version of the row with this order's claim, once it is known.
  std::optional<std::uint64_t> OwnVersion;
  base::endpoint_name Chosen;
  bool Promoted = false;
};

/// The term of the last entry in \p State's log; 0 when the log is empty.
base::term_number lastEntryTerm(const endpoint_state &State);

/// The member to promote among \p Sealed, a majority of \p Members: the one
/// whose log is most advanced, without the suspected primary if the others
/// are a majority by themselves. Precondition: Sealed is not empty.
const endpoint_state &
chooseMember(const std::vector<endpoint_state> &Sealed, std::size_t Members,
             const std::optional<base::endpoint_name> &Suspected,
             const failover_parameters &Parameters);

/// When a row was first seen as it is, by the clock of this instance.
struct row_watch {
  std::uint64_t Version = 0;
  base::instant FirstSeen;
};

/// Whether a new order may be claimed over \p Row; an unfinished order of
/// another instance is left alone for a bound, after which its orderer is
/// taken to have died. \p NoPrimarySince: since when the view's highest term
/// has had no primary.
bool mayClaim(row_watch &Watch, const versioned_record &Row,
              const group_view &View,
              std::optional<base::instant> NoPrimarySince,
              const failover_parameters &Parameters, base::instant Now);

/// The members that have to be told to follow the group's primary: a primary
/// that was replaced, a member that was away, or one sealed and not chosen.
std::vector<follow_member> membersToReconcile(const group_view &View);

/// The machine of one order. Not thread safe.
class failover {
public:
  failover(failover_plan Plan, failover_parameters Parameters);
  failover(failover &&) noexcept;
  failover &operator=(failover &&) noexcept;
  ~failover();

  /// Takes in \p Event and returns what to do. Every command is answered by
  /// an event, except follow_member, which needs none.
  std::vector<failover_command> process(const failover_event &Event);

  failover_step step() const;
  const failover_order &order() const;

private:
  struct machine;
  std::unique_ptr<machine> Machine;
};

/// Whether \p Step is a last one.
bool isOver(failover_step Step);

/// The name of \p Step for people. Thread safe.
std::string_view stepName(failover_step Step);

} // namespace redwinggw::data
