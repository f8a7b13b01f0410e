#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Confirms that a majority of a group holds a position in its term, and that
/// its primary was not replaced. Decisions without I/O; concurrent requests
/// share one status query to each replica. docs/FAILOVER.md gives the reasons.
namespace redwinggw::data {

/// What must be confirmed before a request is answered.
enum class confirm_kind {
  /// A majority holds the position; used for writes.
  Replicated,
  /// The same, and the term was still in force after the request arrived; used
  /// for reads on the primary.
  ReplicatedAndCurrent,
};

/// The two kinds of status queries to a replica; at most one of each kind is in
/// flight.
enum class confirm_query_kind {
  /// Waits at the replica until it has received the position.
  Wait,
  /// Answered at once; shows that the term is still in force.
  Current,
};

/// Safety checks that tests switch off to show that each is needed.
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

/// What one replica has confirmed.
struct confirm_member {
  base::endpoint_name Name;
  /// Term in which Position and CurrentAt were confirmed.
  base::term_number Term = 0;
  base::log_position Position = 0;
  /// Start time of the latest query that was answered in Term.
  base::instant CurrentAt;
  bool WaitQueryOpen = false;
  bool CurrentQueryOpen = false;
  /// The last answer confirmed nothing, or there was none; the next query is
  /// sent after a delay.
  bool DelayNextQuery = false;
};

/// Confirmations of one group. Not thread safe.
struct confirm_state {
  confirm_parameters Parameters;
  /// Members of the group, including the primary.
  std::vector<confirm_member> Members;
  /// Highest term that a member reported.
  base::term_number Term = 0;
  /// Primary of Term. It is not queried: its own answer to the request counts.
  base::endpoint_name Primary;
  std::vector<confirm_waiter> Waiters;
  std::uint64_t LastId = 0;
};

/// A status query to send to \p Member. Its answer is passed to
/// onConfirmAnswer, its failure to onConfirmFailure.
struct confirm_query {
  base::endpoint_name Member;
  confirm_query_kind QueryKind = confirm_query_kind::Current;
  base::term_number Term = 0;
  base::log_position WaitReceived = 0;
  /// Send after a delay, since the member would give the same answer at once.
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

/// Number of members that form a majority, including the primary.
constexpr std::size_t majorityOf(std::size_t Members) {
  return Members / 2 + 1;
}

/// Whether \p State confirms log positions of \p Term: it is the state of a
/// replica that follows the term and has taken over the term's history.
bool confirmsTerm(const endpoint_state &State, base::term_number Term);

/// Sets the members to \p Names; the state of members that stay is kept.
void setConfirmMembers(confirm_state &State,
                       const std::vector<base::endpoint_name> &Names);

/// Adds a waiter and sets its id in \p Waiter. Precondition: the primary
/// answered in Waiter.Term, at Waiter.Position or later.
confirm_actions addWaiter(confirm_state &State, confirm_waiter &Waiter);

/// Removes a waiter whose deadline has passed.
void dropWaiter(confirm_state &State, std::uint64_t Id);

/// Processes a state that answered a request sent at \p AskedAt. \p QueryKind
/// is empty when the state came with an answer to another kind of request.
confirm_actions onConfirmAnswer(confirm_state &State,
                                const endpoint_state &Answer,
                                std::optional<confirm_query_kind> QueryKind,
                                base::instant AskedAt);

/// Processes a query without an answer; it is returned again if it is still
/// needed.
confirm_actions onConfirmFailure(confirm_state &State,
                                 const base::endpoint_name &Member,
                                 confirm_query_kind QueryKind);

} // namespace redwinggw::data
