#include "platform_promotion.hpp"
#include "platform_claim.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"

#include "platform/promoter.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>

namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;
using session::order_step;
using session::primary_claim;

constexpr milliseconds OrderTimeout{1500};
constexpr milliseconds AcknowledgementTimeout{7000};
/// From an accepted order until its target is given up.
constexpr milliseconds EffectTimeout{4000};
constexpr milliseconds PauseBetweenRounds{100};

/// The newest epoch of \p Service that \p Member has reported; 0 if none.
std::uint64_t reportedEpoch(const control::member &Member,
                            const base::service_name &Service) {
  const auto &Groups = Member.Report.Groups;
  const auto Found =
      std::ranges::find(Groups, Service, &wire::group_report::Group);
  return Found == Groups.end() ? 0 : Found->Term;
}

/// Logs by what each instance was counted as having acknowledged \p Claim: its
/// newest version, and the epoch of the claim's service that it reported.
void logAcknowledgements(const platform_instance_state &State,
                         const primary_claim &Claim, bool All) {
  std::string Instances;
  for (const control::member &Member : State.Peers->view().Members) {
    Instances += Instances.empty() ? "" : ", ";
    Instances += Member.Name + " " + std::to_string(Member.KnownVersion) +
                 " service " +
                 std::to_string(reportedEpoch(Member, Claim.Service));
  }
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "move_acknowledged",
                 {{"service", Claim.Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"by", All ? "all" : "half"},
                  {"instances", Instances}});
}

} // namespace

void observeAcknowledgements(const platform_instance_state &State,
                             const primary_claim &Claim,
                             session::move_acknowledgements &Acknowledged) {
  const auto &Members = State.Peers->view().Members;
  const auto Count = static_cast<std::size_t>(
      std::ranges::count_if(Members, [&](const control::member &Member) {
        return Member.KnownVersion >= Claim.Epoch;
      }));
  Acknowledged.All = Count == Members.size();
  const bool Half = 2 * (Count + 1) >= Members.size() + 1;
  if (Half && !Acknowledged.HalfSince)
    Acknowledged.HalfSince = base::now();
}

namespace {

/// Waits until no instance uses the old primary any more. False at \p Deadline
/// or when a later claim is known.
base::task<bool> awaitAcknowledgements(platform_instance_state &State,
                                       const primary_claim &Claim,
                                       instant Deadline) {
  session::move_acknowledgements Acknowledged;
  Acknowledged.ClaimedAt = base::now();
  State.Peers->sendHeartbeatsNow();
  while (base::now() < Deadline && isCurrent(State, Claim)) {
    observeAcknowledgements(State, Claim, Acknowledged);
    if (mayPromote(Acknowledged, State.Handover, base::now())) {
      logAcknowledgements(State, Claim, Acknowledged.All);
      co_return true;
    }
    co_await pauseWithJitter(State, StepPause);
  }
  co_return false;
}

void logOrder(const platform::promotion_order &Order, std::uint64_t Epoch) {
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "promotion_ordered",
                 {{"service", Order.Service},
                  {"epoch", std::to_string(Epoch)},
                  {"target", Order.Endpoint},
                  {"token", std::to_string(Order.Token)}});
}

void logOrderEnd(const primary_claim &Claim,
                 platform::promotion_outcome Outcome, instant Sent) {
  const auto Took =
      std::chrono::duration_cast<milliseconds>(base::now() - Sent);
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "promotion_order_ended",
                 {{"service", Claim.Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"target", Claim.Target.value_or("")},
                  {"token", std::to_string(Claim.Token)},
                  {"outcome", std::string(outcomeName(Outcome))},
                  {"after_ms", std::to_string(Took.count())}});
}

/// Records that an order for \p Service may take effect for \p Time from now.
void expectOrders(platform_instance_state &State,
                  const base::service_name &Service, milliseconds Time) {
  instant &Until = State.OrdersArriveUntil[Service];
  Until = std::max(Until, base::now() + Time);
}

/// Whether an order for \p Claim may be sent now.
bool mayOrder(platform_instance_state &State, const primary_claim &Claim) {
  return !State.Stopped && isOrderer(State, Claim) && mayTrustClaims(State);
}

/// Orders the promotion of the recorded target once.
base::task<platform::promotion_outcome> order(platform_instance_state &State,
                                              const primary_claim &Claim) {
  const base::endpoint_name Target = Claim.Target.value_or("");
  platform::promotion_order Order{Claim.Service, Target, Claim.Orderer,
                                  Claim.Token};
  logOrder(Order, Claim.Epoch);
  const instant Sent = base::now();
  State.PromotionsInFlight.insert(Claim.Service);
  State.Peers->setVouchesForOthers(false);
  std::function<bool()> MaySend = [&] { return mayOrder(State, Claim); };
  const auto Outcome = co_await platform::orderPromotion(
      State.Context.get_executor(), State.Settings.Promotions, std::move(Order),
      std::move(MaySend), Sent + OrderTimeout);
  State.PromotionsInFlight.erase(Claim.Service);
  State.LastPromotionEndedAt = base::now();
  if (Outcome == platform::promotion_outcome::Unknown)
    expectOrders(State, Claim.Service, State.Handover.OrdererTurn);
  acknowledgeClaims(State, 0);
  logOrderEnd(Claim, Outcome, Sent);
  co_return Outcome;
}

/// Waits until the promotion of \p Target, which the platform has accepted, has
/// taken effect. The term that it leads; nothing when the target is not listed
/// any more or is silent after the time of a promotion, at \p Deadline or when
/// a later claim is known.
base::task<std::optional<base::term_number>>
awaitPromotion(platform_instance_state &State, const primary_claim &Claim,
               session::order_decision Target, session::order_times Times,
               instant Deadline) {
  while (base::now() < Deadline && isCurrent(State, Claim)) {
    const auto *Entry =
        findEndpoint(State.Endpoints.Directory, Target.Endpoint);
    if (Entry == nullptr)
      co_return std::nullopt;
    const session::endpoint_entry Copy = *Entry;
    const instant Asked = base::now();
    const auto Status = co_await inquire(State, Claim, Copy);
    if (Status.Status &&
        hasTakenEffect(Target.Start, *Status.Status, Asked, Times))
      co_return Status.Status->Term;
    const bool Silent = Status.Outcome != session::exchange_outcome::Answered;
    if (Silent && base::now() > Times.Accepted + Times.PromotionTime)
      co_return std::nullopt;
    co_await pauseWithJitter(State, 2 * StepPause);
  }
  co_return std::nullopt;
}

} // namespace

base::task<std::optional<base::term_number>>
promote(platform_instance_state &State, primary_claim &Claim,
        session::order_decision Decision, inquiry_rounds &Rounds) {
  const bool Recorded = co_await recordTarget(State, Claim, Decision);
  if (!Recorded)
    co_await pauseWithJitter(State, RetryDelay);
  if (!Recorded || !mayOrder(State, Claim))
    co_return std::nullopt;
  const instant Expected = State.OrdersArriveUntil[Claim.Service];
  logMove(Claim.Service, "promoting " + Decision.Endpoint + ".");
  const auto Outcome = co_await order(State, Claim);
  if (Outcome == platform::promotion_outcome::Refused)
    Rounds.RefusedAt[Decision.Endpoint] = base::now();
  if (Outcome != platform::promotion_outcome::Accepted)
    co_return std::nullopt;
  expectOrders(State, Claim.Service, State.Handover.PromotionTime);
  session::order_times Times;
  Times.Accepted = base::now();
  Times.PromotionTime = State.Handover.PromotionTime;
  const auto Term = co_await awaitPromotion(State, Claim, Decision, Times,
                                            Times.Accepted + EffectTimeout);
  if (Term)
    State.OrdersArriveUntil[Claim.Service] = Expected;
  else
    logMove(Claim.Service, Decision.Endpoint + " did not become primary.");
  co_return Term;
}

namespace {

/// Announces the new primary and the term that it leads to the instances,
/// then writes them to the store. The store may be down, and the instances need
/// not wait for it.
base::task<void> finishMove(platform_instance_state &State, primary_claim Claim,
                            base::endpoint_name Target,
                            base::term_number Term) {
  const std::uint64_t Epoch = Claim.Epoch;
  Claim.Primary = std::move(Target);
  Claim.Moving = false;
  Claim.Target.reset();
  Claim.Term = Term;
  acceptClaim(State, Claim);
  State.Peers->sendHeartbeatsNow();
  while (!State.Stopped) {
    const auto *Known = findClaim(State.Claims, Claim.Service);
    if (Known == nullptr || Known->Claim.Epoch != Epoch)
      co_return;
    storage::commit_request Request;
    Request.Checks.push_back({session::claimKey(Claim.Service), Epoch});
    Request.Puts.push_back(
        {session::claimKey(Claim.Service), claimText(Claim)});
    const auto Versions =
        co_await storage::commit(State.Store, std::move(Request));
    if (Versions) {
      Claim.Epoch = Versions->front();
      acceptClaim(State, Claim);
      co_return;
    }
    if (kindOf(Versions.error()) == base::errc::Conflict) {
      // Another orderer has claimed the service, or an earlier try of this
      // write took effect.
      State.FleetReadRequested = true;
      co_return;
    }
    co_await pauseWithJitter(State, 10 * StepPause);
  }
}

/// Records, once a claim is acknowledged, until when orders of others are to be
/// expected: whoever has acknowledged it, or has lost its lease, orders no
/// more.
void noteFormerOrders(platform_instance_state &State,
                      const claimed_move &Move) {
  if (State.TurnPending)
    State.OthersOrderedAt = base::now();
  State.TurnPending = false;
  if (Move.Resumed)
    delayInquiries(State, Move.Claim.Service);
  if (State.OrdersPending.erase(Move.Claim.Service) != 0)
    expectOrders(State, Move.Claim.Service, State.Handover.OrdererTurn);
}

} // namespace

void logMove(const std::string &Service, const std::string &Text) {
  base::log(base::log_level::Info, base::log_part::Failover,
            "Service " + Service + ": " + Text);
}

base::task<bool> executeMove(platform_instance_state &State,
                             claimed_move Move) {
  primary_claim &Claim = Move.Claim;
  const bool NoInstanceUsesOldPrimary = co_await awaitAcknowledgements(
      State, Claim, base::now() + AcknowledgementTimeout);
  if (!NoInstanceUsesOldPrimary) {
    logMove(Claim.Service,
            "the move waits for acknowledgements of half of the instances.");
    co_return false;
  }
  noteFormerOrders(State, Move);
  inquiry_rounds Rounds = co_await beginInquiries(State, Move);
  while (!State.Stopped) {
    if (isRecordedLater(State, Claim))
      co_await readOwnClaim(State, Claim);
    if (!isOrderer(State, Claim))
      break;
    const auto Decision = co_await decideRound(State, Move, Rounds);
    // After a long wait another orderer may have taken over unnoticed.
    const bool MayAct = isOrderer(State, Claim) && mayTrustClaims(State);
    if (MayAct && (Decision.Step == order_step::Adopt ||
                   Decision.Step == order_step::Keep)) {
      logMove(Claim.Service,
              Decision.Endpoint + (Decision.Step == order_step::Keep
                                       ? " is kept: no endpoint can take over."
                                       : " has been promoted already."));
      co_await finishMove(State, Claim, Decision.Endpoint,
                          Decision.Start.Newest);
      co_return true;
    }
    const bool InTurn = isOwnTurn(State);
    if (MayAct && Decision.Step == order_step::Order && InTurn) {
      const auto Term = co_await promote(State, Claim, Decision, Rounds);
      if (Term) {
        co_await finishMove(State, Claim, Decision.Endpoint, *Term);
        co_return true;
      }
    }
    const bool Early = InTurn && base::now() < Rounds.CatchUpUntil;
    co_await pauseWithJitter(State, Early ? StepPause : PauseBetweenRounds);
  }
  logMove(Claim.Service, "this instance is not the orderer any more.");
  co_return false;
}

} // namespace redwinggw
