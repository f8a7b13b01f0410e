#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Confirmation that a majority of a group holds a position in its term, and
/// that its primary was not replaced. Decisions without I/O; many requests
/// share one question to each replica. docs/FAILOVER.md gives the reasons.
namespace redwinggw::data {

/// What a request needs to know before it is answered.
enum class confirm_kind {
  /// A majority holds the position: for writes.
  Replicated,
  /// The same, and the term was in force after the request arrived: for reads
  /// on the primary.
  ReplicatedAndCurrent,
};

/// The two kinds of questions to a replica; at most one of each is open.
enum class confirm_query_kind {
  /// Waits at the replica until it has received a position.
  Wait,
  /// Is answered at once; tells that the term is still in force.
  Current,
};

/// Guards that tests switch off to prove that they are needed.
struct confirm_parameters {
  bool CheckMajority = true;
  bool CheckTerm = true;
  bool CheckCurrent = true;
};

struct confirm_waiter {
  std::uint64_t Id = 0;
  base::term_number Term = 0;
  base::log_position Position = 0;
  confirm_kind Kind = confirm_kind::Replicated;
  base::instant Arrived;
};

/// What one replica confirmed.
struct confirm_member {
  base::endpoint_name Name;
  /// Term of what follows.
  base::term_number Term = 0;
  base::log_position Position = 0;
  /// Latest time before a question that was answered in Term.
  base::instant CurrentAt;
  bool WaitQueryOpen = false;
  bool CurrentQueryOpen = false;
  /// Its last answer confirmed nothing or did not come.
  bool DelayNextQuery = false;
};

/// One group. Not thread safe.
struct confirm_state {
  confirm_parameters Parameters;
  /// Members of the group, the primary included.
  std::vector<confirm_member> Members;
  /// Highest term that a member told.
  base::term_number Term = 0;
  /// Primary of Term; it counts through its own answer and is not asked.
  base::endpoint_name Primary;
  std::vector<confirm_waiter> Waiters;
  std::uint64_t LastId = 0;
};

/// A question to send to \p Member; its answer goes to onConfirmAnswer, its
/// failure to onConfirmFailure.
struct confirm_query {
  base::endpoint_name Member;
  confirm_query_kind QueryKind = confirm_query_kind::Current;
  base::term_number Term = 0;
  base::log_position WaitReceived = 0;
  /// Send it after a pause: the member would only repeat itself at once.
  bool Delayed = false;
};

struct confirm_finished {
  std::uint64_t Id = 0;
  base::result<void> Outcome;
};

struct confirm_actions {
  std::vector<confirm_finished> Finished;
  std::vector<confirm_query> Queries;
};

/// Number of members that must agree, the primary included.
constexpr std::size_t majorityOf(std::size_t Members) {
  return Members / 2 + 1;
}

/// Whether \p State confirms log positions of \p Term: a replica that follows
/// the term and has taken over the term's history.
bool confirmsTerm(const endpoint_state &State, base::term_number Term);

/// Makes the members match \p Names, keeping what is known of those that stay.
void setConfirmMembers(confirm_state &State,
                       const std::vector<base::endpoint_name> &Names);

/// Adds a waiter and writes its id to \p Waiter. Precondition: the primary
/// answered in Waiter.Term, at a position of at least Waiter.Position.
confirm_actions addWaiter(confirm_state &State, confirm_waiter &Waiter);

/// Forgets a waiter, whose deadline passed.
void dropWaiter(confirm_state &State, std::uint64_t Id);

/// Takes in an answer to a question that was sent at \p AskedAt. \p QueryKind
/// is empty for states that came another way.
confirm_actions onConfirmAnswer(confirm_state &State,
                                const endpoint_state &Answer,
                                std::optional<confirm_query_kind> QueryKind,
                                base::instant AskedAt);

/// Notes that a question got no answer; questions still needed come back.
confirm_actions onConfirmFailure(confirm_state &State,
                                 const base::endpoint_name &Member,
                                 confirm_query_kind QueryKind);

} // namespace redwinggw::data
