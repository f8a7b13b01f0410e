#include "platform_claim.hpp"
#include "platform_fleet.hpp"
#include "platform_heartbeats.hpp"
#include "platform_primaries.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>
#include <ranges>

namespace redwinggw {
namespace {

using session::primary_claim;

storage::row rowAt(const platform::table_rows &Rows, std::string Key) {
  const auto Found =
      std::ranges::find(Rows.Rows, Key, &platform::table_row::Key);
  if (Found == Rows.Rows.end())
    return {std::move(Key), 0, {}};
  return {std::move(Key), Found->Version, Found->Value};
}

bool isClaim(const platform::table_row &Row) {
  return Row.Key.starts_with(session::ClaimPrefix);
}

/// The text of the orderer's row: instance name, incarnation and fencing token.
std::string ordererText(const platform_instance_state &State,
                        std::uint64_t Token) {
  return State.Settings.Name + " " +
         std::to_string(State.Peers->view().Self.Incarnation) + " " +
         std::to_string(Token);
}

/// Whether the orderer's row \p Text is of a claim of this instance that is
/// known to have been written. One whose answer was lost may have followed a
/// claim of another instance.
bool isOwnText(const platform_instance_state &State, const std::string &Text) {
  return State.OrdererToken != 0 &&
         Text == ordererText(State, State.OrdererToken);
}

/// What the row of a service says of an unfinished move.
struct former_move {
  bool Unfinished = false;
  /// The recorded target, see primary_claim::Target.
  std::optional<base::endpoint_name> Target;
  base::instance_name Orderer;
};

/// A row that cannot be parsed does not rule out a move.
former_move formerMove(const storage::row &Row) {
  former_move Former;
  Former.Target.emplace();
  if (Row.Version == 0)
    return Former;
  const auto Claim = session::readClaim(Row.Key, Row.Version, Row.Value);
  Former.Unfinished = !Claim || Claim->Moving;
  if (Claim)
    Former.Orderer = Claim->Orderer;
  if (Former.Unfinished)
    Former.Target = Claim ? Claim->Target : std::nullopt;
  return Former;
}

bool mayHaveOrdered(const former_move &Former) {
  return Former.Unfinished && (!Former.Target || !Former.Target->empty());
}

/// An unfinished move of another instance.
struct others_move {
  std::string Key;
  /// It may have ordered a promotion.
  bool MayHaveOrdered = false;
};

/// The unfinished moves in \p Rows that may have ordered a promotion, or still
/// may since their orderer is that of \p Orderer's row.
std::vector<others_move> othersMoves(const platform_instance_state &State,
                                     const platform::table_rows &Rows,
                                     const std::string &Orderer) {
  std::vector<others_move> Moves;
  for (const platform::table_row &Row :
       Rows.Rows | std::views::filter(isClaim)) {
    const former_move Former = formerMove({Row.Key, Row.Version, Row.Value});
    const bool IsOrderer = Orderer.starts_with(Former.Orderer + " ");
    if (Former.Unfinished && Former.Orderer != State.Settings.Name &&
        (mayHaveOrdered(Former) || IsOrderer))
      Moves.push_back({Row.Key, mayHaveOrdered(Former)});
  }
  return Moves;
}

/// Whether an instance that is up carries out the move at \p Key. It gets the
/// time for a turn and a promotion: a claim of any service would end its move.
bool isCarriedOut(const platform_instance_state &State,
                  const std::string &Key) {
  const auto *Known =
      findClaim(State.Claims, Key.substr(session::ClaimPrefix.size()));
  return Known != nullptr && Known->Claim.Moving &&
         base::now() - Known->Since < 2 * State.Handover.OrdererTurn &&
         collectPrimaryReports(State).Up.contains(Known->Claim.Orderer);
}

void logClaim(const claimed_move &Move, const storage::row &Former,
              const storage::row &Orderer) {
  const primary_claim &Claim = Move.Claim;
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "move_claimed",
                 {{"service", Claim.Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"token", std::to_string(Claim.Token)},
                  {"resumed", Move.Resumed ? "true" : "false"},
                  {"recorded", Claim.Target.value_or("unknown")},
                  {"former_claim", Former.Value},
                  {"former_orderer", Orderer.Value}});
}

} // namespace

std::uint64_t epochOf(const platform_instance_state &State,
                      const base::service_name &Service) {
  const auto *Known = findClaim(State.Claims, Service);
  return Known == nullptr ? 0 : Known->Claim.Epoch;
}

base::task<std::optional<claimed_move>>
claimMove(platform_instance_state &State, base::service_name Service,
          base::endpoint_name Primary) {
  const std::uint64_t Epoch = epochOf(State, Service);
  const auto Rows = co_await readFleet(State);
  // The cause of the move belongs to the claim that was known.
  if (!Rows || epochOf(State, Service) != Epoch)
    co_return std::nullopt;
  const storage::row Row = rowAt(*Rows, session::claimKey(Service));
  const storage::row Orderer = rowAt(*Rows, std::string(OrdererKey));
  const std::uint64_t KnownUpTo = State.Claims.CompleteUpTo;
  const auto *Known = findClaim(State.Claims, Service);
  const auto Others = othersMoves(State, *Rows, Orderer.Value);
  if (std::ranges::any_of(Others, [&](const others_move &Other) {
        return Other.Key != Row.Key && isCarriedOut(State, Other.Key);
      }))
    co_return std::nullopt;
  // A large table is read in parts: a claim between them would be missing.
  if (Rows->FirstVersion < Orderer.Version)
    co_return std::nullopt;
  const auto Token = session::readOrdererToken(Orderer.Value);
  if (!Token) {
    base::logEvent(base::log_level::Error, base::log_part::Failover,
                   "orderer_not_decoded", {{"service", Service}});
    co_return std::nullopt;
  }
  const former_move Former = formerMove(Row);
  claimed_move Move;
  Move.Resumed = Former.Unfinished;
  const bool OrdersMayArrive =
      mayHaveOrdered(Former) && !isOwnText(State, Orderer.Value);
  primary_claim &Claim = Move.Claim;
  Claim.Service = Service;
  Claim.Primary = Primary;
  Claim.Moving = true;
  Claim.Orderer = State.Settings.Name;
  Claim.Token = *Token + (isOwnText(State, Orderer.Value) ? 0 : 1);
  Claim.Term = Known == nullptr ? 0 : Known->Claim.Term;
  Claim.Target = Former.Target;
  storage::commit_request Request;
  Request.Checks.push_back({Row.Key, Row.Version});
  Request.Checks.push_back({Orderer.Key, Orderer.Version});
  Request.Puts.push_back({Row.Key, claimText(Claim)});
  Request.Puts.push_back({Orderer.Key, ordererText(State, Claim.Token)});
  // Noted before the commit, whose answer may be lost.
  State.TurnPending = State.TurnPending ||
                      std::ranges::any_of(Others, &others_move::MayHaveOrdered);
  if (OrdersMayArrive)
    State.OrdersPending.insert(Service);
  const auto Versions =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Versions)
    co_return std::nullopt;
  Claim.Epoch = Versions->front();
  State.OrdererRowVersion = State.OrdererUpTo = Claim.Epoch;
  State.OrdererToken = Claim.Token;
  acceptClaim(State, Claim);
  // Moves are begun one after the other, since each changes the orderer's row.
  if (KnownUpTo >= Orderer.Version)
    acknowledgeClaims(State, Claim.Epoch);
  logClaim(Move, Row, Orderer);
  co_return Move;
}

bool isRecordedLater(const platform_instance_state &State,
                     const primary_claim &Claim) {
  const auto *Known = findClaim(State.Claims, Claim.Service);
  return Known != nullptr && Known->Claim.Epoch > Claim.Epoch &&
         Known->Claim.Moving && Known->Claim.Orderer == Claim.Orderer;
}

base::task<bool> readOwnClaim(platform_instance_state &State,
                              primary_claim &Claim) {
  const auto Rows = co_await readFleet(State);
  if (!Rows)
    co_return false;
  const storage::row Orderer = rowAt(*Rows, std::string(OrdererKey));
  const storage::row Row = rowAt(*Rows, session::claimKey(Claim.Service));
  const auto Found = session::readClaim(Row.Key, Row.Version, Row.Value);
  if (!isOwnText(State, Orderer.Value) || !Found || !Found->Moving ||
      Found->Orderer != Claim.Orderer || Found->Token != Claim.Token)
    co_return false;
  State.OrdererRowVersion = Orderer.Version;
  State.OrdererUpTo = std::max(State.OrdererUpTo, Found->Epoch);
  Claim = *Found;
  co_return true;
}

base::task<bool> recordTarget(platform_instance_state &State,
                              primary_claim &Claim,
                              session::order_decision Decision) {
  if (Claim.Target == Decision.Endpoint)
    co_return true;
  primary_claim Next = Claim;
  Next.Target = Decision.Endpoint;
  // Before the first agreement, the term of the primary that was never moved.
  if (Next.Term == 0)
    Next.Term = Decision.Start.Newest;
  storage::commit_request Request;
  Request.Checks.push_back({session::claimKey(Claim.Service), Claim.Epoch});
  Request.Checks.push_back({std::string(OrdererKey), State.OrdererRowVersion});
  Request.Puts.push_back({session::claimKey(Claim.Service), claimText(Next)});
  const auto Versions =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Versions) {
    const bool Own = co_await readOwnClaim(State, Claim);
    if (!Own)
      co_return false;
    co_return Claim.Target == Decision.Endpoint;
  }
  Next.Epoch = Versions->front();
  Claim = Next;
  State.OrdererUpTo = std::max(State.OrdererUpTo, Claim.Epoch);
  acceptClaim(State, Claim);
  co_return true;
}

bool isOrderer(const platform_instance_state &State,
               const primary_claim &Claim) {
  return isCurrent(State, Claim) && Claim.Token == State.OrdererToken &&
         State.OthersClaimedUpTo <= State.OrdererUpTo;
}

bool hasLostOrders(const platform_instance_state &State,
                   const primary_claim &Claim) {
  if (Claim.Orderer == State.Settings.Name)
    return State.OthersClaimedUpTo > Claim.Epoch;
  return Claim.Epoch < State.OrdererUpTo &&
         State.OthersClaimedUpTo <= State.OrdererUpTo;
}

bool areOrdersSettled(const platform_instance_state &State,
                      const base::service_name &Service) {
  const auto Arrive = State.OrdersArriveUntil.find(Service);
  return !State.OrdersPending.contains(Service) &&
         (Arrive == State.OrdersArriveUntil.end() ||
          base::now() >= Arrive->second);
}

bool mayBeginPlannedMove(const platform_instance_state &State,
                         const base::service_name &Service) {
  const auto Arrive = State.OrdersArriveUntil.find(Service);
  return base::now() - State.OthersOrderedAt >= State.Handover.OrdererTurn &&
         (Arrive == State.OrdersArriveUntil.end() ||
          base::now() >= Arrive->second);
}

bool isOwnTurn(const platform_instance_state &State) {
  return !State.TurnPending &&
         base::now() - State.OthersOrderedAt >= State.Handover.OrdererTurn;
}

} // namespace redwinggw
