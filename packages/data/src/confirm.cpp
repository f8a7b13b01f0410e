#include "redwinggw/data/confirm.hpp"

#include <algorithm>
#include <ranges>

namespace redwinggw::data {
namespace {

using base::errc;
using base::failure;

bool &openFlag(confirm_member &Member, confirm_query_kind QueryKind) {
  return QueryKind == confirm_query_kind::Wait ? Member.WaitQueryOpen
                                               : Member.CurrentQueryOpen;
}

confirm_member *memberNamed(confirm_state &State,
                            const base::endpoint_name &Name) {
  const auto Found =
      std::ranges::find(State.Members, Name, &confirm_member::Name);
  return Found == State.Members.end() ? nullptr : &*Found;
}

bool holds(const confirm_state &State, const confirm_member &Member,
           const confirm_waiter &Waiter) {
  // A replica in another term may have dropped the entry or hold a different
  // one at this position. Its position alone would acknowledge a write that the
  // next primary does not have.
  if (Member.Term != Waiter.Term && State.Parameters.CheckTerm)
    return false;
  return Member.Position >= Waiter.Position;
}

bool isCurrent(const confirm_state &State, const confirm_member &Member,
               const confirm_waiter &Waiter) {
  if (Waiter.Kind == confirm_kind::Replicated || !State.Parameters.CheckCurrent)
    return true;
  // A replaced primary still answers reads with its old data. An answer to a
  // query sent after the request arrived shows that no majority was sealed by
  // then, so no later write had been acknowledged elsewhere.
  return Member.Term == Waiter.Term && Member.CurrentAt >= Waiter.Arrived;
}

/// Number of replicas, besides the primary, that must agree.
std::size_t replicasNeeded(const confirm_state &State) {
  if (!State.Parameters.CheckMajority || State.Members.empty())
    return 0;
  return majorityOf(State.Members.size()) - 1;
}

bool isConfirmed(const confirm_state &State, const confirm_waiter &Waiter) {
  const auto Needed = static_cast<std::ptrdiff_t>(replicasNeeded(State));
  const auto Holding =
      std::ranges::count_if(State.Members, [&](const confirm_member &M) {
        return holds(State, M, Waiter);
      });
  const auto Current =
      std::ranges::count_if(State.Members, [&](const confirm_member &M) {
        return isCurrent(State, M, Waiter);
      });
  return Holding >= Needed && Current >= Needed;
}

bool isReplaced(const confirm_state &State, const confirm_waiter &Waiter) {
  return State.Parameters.CheckTerm && State.Term > Waiter.Term;
}

void finishWaiters(confirm_state &State, confirm_actions &Actions) {
  const auto IsOver = [&](const confirm_waiter &Waiter) {
    if (isConfirmed(State, Waiter)) {
      Actions.Finished.push_back({Waiter.Id, {}});
      return true;
    }
    if (isReplaced(State, Waiter)) {
      Actions.Finished.push_back({Waiter.Id, failure(errc::TermReplaced)});
      return true;
    }
    return false;
  };
  std::erase_if(State.Waiters, IsOver);
}

/// The waiter with the lowest position that \p Member has not confirmed.
/// Querying the lowest does not delay the first waiter for later ones; the
/// answer reports everything that was received and so serves those too.
std::optional<confirm_waiter> lowestMissing(const confirm_state &State,
                                            const confirm_member &Member) {
  auto Needing = State.Waiters | std::views::filter([&](const auto &Waiter) {
                   return !holds(State, Member, Waiter);
                 });
  const auto Lowest =
      std::ranges::min_element(Needing, {}, &confirm_waiter::Position);
  if (Lowest == Needing.end())
    return std::nullopt;
  return *Lowest;
}

std::optional<confirm_waiter> firstNotCurrent(const confirm_state &State,
                                              const confirm_member &Member) {
  const auto Found =
      std::ranges::find_if(State.Waiters, [&](const auto &Waiter) {
        return !isCurrent(State, Member, Waiter);
      });
  if (Found == State.Waiters.end())
    return std::nullopt;
  return *Found;
}

void createQueries(confirm_state &State, confirm_actions &Actions) {
  for (confirm_member &Member : State.Members) {
    if (Member.Name == State.Primary)
      continue;
    const auto Waiting = lowestMissing(State, Member);
    if (Waiting && !Member.WaitQueryOpen) {
      Member.WaitQueryOpen = true;
      Actions.Queries.push_back({Member.Name, confirm_query_kind::Wait,
                                 Waiting->Term, Waiting->Position,
                                 Member.DelayNextQuery});
    }
    const auto Current = firstNotCurrent(State, Member);
    if (Current && !Member.CurrentQueryOpen) {
      Member.CurrentQueryOpen = true;
      Actions.Queries.push_back({Member.Name, confirm_query_kind::Current,
                                 Current->Term, 0, Member.DelayNextQuery});
    }
  }
}

confirm_actions updateWaiters(confirm_state &State) {
  confirm_actions Actions;
  finishWaiters(State, Actions);
  createQueries(State, Actions);
  return Actions;
}

void recordAnswer(confirm_state &State, confirm_member &Member,
                  const endpoint_state &Answer, base::instant AskedAt) {
  State.Term = std::max(State.Term, Answer.Term);
  if (Answer.Role == endpoint_role::Primary && Answer.Term == State.Term)
    State.Primary = Answer.Name;
  Member.DelayNextQuery = !confirmsTerm(Answer, State.Term);
  const bool Counts =
      confirmsTerm(Answer, Answer.Term) ||
      (!State.Parameters.CheckTerm && Answer.Role != endpoint_role::Primary);
  if (!Counts || Answer.Term < Member.Term)
    return;
  if (Answer.Term > Member.Term) {
    Member.Term = Answer.Term;
    Member.Position = 0;
    Member.CurrentAt = AskedAt;
  }
  // Within one term a replica never drops what it received, so an answer that
  // arrives out of order changes nothing.
  Member.Position = std::max(Member.Position, Answer.Received);
  Member.CurrentAt = std::max(Member.CurrentAt, AskedAt);
}

} // namespace

bool confirmsTerm(const endpoint_state &State, base::term_number Term) {
  // A replica that was just told to follow may still have entries of a lost
  // branch, until it takes over the primary's history. Only then are its
  // positions comparable with the primary's.
  const bool HasHistory =
      std::ranges::find(State.History, Term, &history_row::Term) !=
      State.History.end();
  return State.Role == endpoint_role::Replica && State.Term == Term &&
         HasHistory;
}

void setConfirmMembers(confirm_state &State,
                       const std::vector<base::endpoint_name> &Names) {
  std::vector<confirm_member> Members;
  std::ranges::transform(
      Names, std::back_inserter(Members), [&](const base::endpoint_name &Name) {
        const confirm_member *Known = memberNamed(State, Name);
        confirm_member Fresh;
        Fresh.Name = Name;
        return Known != nullptr ? *Known : Fresh;
      });
  State.Members = std::move(Members);
}

confirm_actions addWaiter(confirm_state &State, confirm_waiter &Waiter) {
  Waiter.Id = ++State.LastId;
  State.Waiters.push_back(Waiter);
  return updateWaiters(State);
}

void dropWaiter(confirm_state &State, std::uint64_t Id) {
  std::erase_if(State.Waiters, [&](const auto &W) { return W.Id == Id; });
}

confirm_actions onConfirmAnswer(confirm_state &State,
                                const endpoint_state &Answer,
                                std::optional<confirm_query_kind> QueryKind,
                                base::instant AskedAt) {
  confirm_member *Member = memberNamed(State, Answer.Name);
  if (Member == nullptr)
    return {};
  if (QueryKind)
    openFlag(*Member, *QueryKind) = false;
  recordAnswer(State, *Member, Answer, AskedAt);
  return updateWaiters(State);
}

confirm_actions onConfirmFailure(confirm_state &State,
                                 const base::endpoint_name &Name,
                                 confirm_query_kind QueryKind) {
  confirm_member *Member = memberNamed(State, Name);
  if (Member == nullptr)
    return {};
  openFlag(*Member, QueryKind) = false;
  Member->DelayNextQuery = true;
  return updateWaiters(State);
}

} // namespace redwinggw::data
