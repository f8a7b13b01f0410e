#include "replica.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace redwinggw::standin {
namespace {

using data::endpoint_role;
using data::history_row;

/// The term in which the entry at \p Position (from 1) was written.
base::term_number termAt(const std::vector<history_row> &History,
                         base::log_position Position) {
  const auto After =
      std::ranges::lower_bound(History, Position, {}, &history_row::Start);
  return After == History.begin() ? 0 : std::ranges::prev(After)->Term;
}

/// Length of the longest prefix that \p Log shares with the primary's log. A
/// term has one primary, so position and term identify an entry.
base::log_position commonPrefix(const std::vector<log_entry> &Log,
                                const replicate_message &Message) {
  const auto Shared =
      std::min<base::log_position>(Log.size(), Message.Received);
  base::log_position Length = 0;
  while (Length < Shared &&
         Log[Length].Term == termAt(Message.History, Length + 1))
    ++Length;
  return Length;
}

std::vector<history_row> rowsUpTo(const std::vector<history_row> &History,
                                  base::log_position Position) {
  std::vector<history_row> Rows;
  std::ranges::copy_if(
      History, std::back_inserter(Rows),
      [&](const history_row &Row) { return Row.Start <= Position; });
  return Rows;
}

/// Guards against two orders for one term: each would create a primary, and an
/// acknowledged write of one would be missing on the other.
bool mayEnterTerm(const replica &Replica, base::term_number Term,
                  const std::string &Order) {
  if (Term == Replica.Term)
    return Order == Replica.Order;
  return Term > Replica.Term;
}

void enterTerm(replica &Replica, base::term_number Term,
               const std::string &Order, endpoint_role Role) {
  Replica.Term = Term;
  Replica.Order = Order;
  Replica.Role = Role;
}

} // namespace

data::endpoint_state stateOf(const replica &Replica) {
  data::endpoint_state State;
  State.Name = Replica.Name;
  State.Role = Replica.Role;
  State.Term = Replica.Term;
  State.Order = Replica.Order;
  if (Replica.Role == endpoint_role::Replica && !Replica.Verified)
    return State;
  State.Received = Replica.Log.size();
  State.Applied = Replica.Applied;
  State.History = Replica.History;
  return State;
}

bool seal(replica &Replica, base::term_number Term, const std::string &Order) {
  if (!mayEnterTerm(Replica, Term, Order))
    return false;
  // A delayed duplicate of the seal must not stop the primary that the same
  // order has promoted since.
  if (Term == Replica.Term)
    return true;
  enterTerm(Replica, Term, Order, endpoint_role::Sealed);
  return true;
}

bool promote(replica &Replica, base::term_number Term,
             const std::string &Order) {
  if (!mayEnterTerm(Replica, Term, Order))
    return false;
  if (Term == Replica.Term && Replica.Role != endpoint_role::Sealed)
    return Replica.Role == endpoint_role::Primary;
  enterTerm(Replica, Term, Order, endpoint_role::Primary);
  Replica.History.push_back({Term, Replica.Log.size()});
  Replica.Verified = true;
  return true;
}

bool follow(replica &Replica, base::term_number Term,
            const std::string &Order) {
  if (!mayEnterTerm(Replica, Term, Order))
    return false;
  if (Term == Replica.Term && Replica.Role != endpoint_role::Sealed)
    return Replica.Role == endpoint_role::Replica;
  enterTerm(Replica, Term, Order, endpoint_role::Replica);
  Replica.Verified = false;
  return true;
}

replicate_outcome receive(replica &Replica, replicate_message Message,
                          base::instant Now) {
  replicate_outcome Outcome;
  if (Replica.Role != endpoint_role::Replica || Message.Term != Replica.Term ||
      Message.Order != Replica.Order)
    return Outcome;
  Outcome.Accepted = true;
  if (!Replica.Verified) {
    Replica.Log.resize(commonPrefix(Replica.Log, Message));
    Outcome.Rebuild = Replica.Applied > Replica.Log.size();
    if (Outcome.Rebuild)
      Replica.Applied = 0;
    Replica.Verified = true;
  }
  // Messages may be duplicated or delayed: entries that are already present are
  // skipped, and a gap is ignored. The primary sees the reported position and
  // sends the missing entries.
  const auto Here = Replica.Log.size();
  if (Message.From <= Here)
    for (log_entry &Entry :
         Message.Entries | std::views::drop(Here - Message.From)) {
      Entry.At = Now;
      Replica.Log.push_back(std::move(Entry));
    }
  Replica.History = rowsUpTo(Message.History, Replica.Log.size());
  return Outcome;
}

bool confirms(const replica &Replica, base::term_number Term,
              base::log_position Position) {
  return Replica.Term == Term && Replica.Role != endpoint_role::Sealed &&
         Replica.Verified && Replica.Log.size() >= Position;
}

} // namespace redwinggw::standin
