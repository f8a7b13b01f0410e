#include "platform_handover.hpp"
#include "platform_claim.hpp"
#include "platform_former_primaries.hpp"
#include "platform_heartbeats.hpp"
#include "platform_holders.hpp"
#include "platform_inquiries.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_probing.hpp"
#include "platform_promotion.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

/// Replaces primaries that failed or leave; docs/PLATFORM-ADAPTER.md gives the
/// steps and their reasons.
namespace redwinggw {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;
using session::move_cause;
using session::primary_claim;

constexpr milliseconds PrimaryCheckInterval{100};
/// Between two tries to begin a planned move.
constexpr milliseconds PauseBeforePlannedMove{500};

std::optional<instant> missingSince(platform_instance_state &State,
                                    const base::endpoint_name &Name) {
  if (findEndpoint(State.Endpoints.Directory, Name) != nullptr) {
    State.MissingPrimaries.erase(Name);
    return std::nullopt;
  }
  return State.MissingPrimaries.try_emplace(Name, base::now()).first->second;
}

/// The primary of \p Service or, where there is no claim, the one that was last
/// listed: once its entry has expired nothing else names it.
base::endpoint_name primaryOrLastListed(platform_instance_state &State,
                                        const base::service_name &Service) {
  base::endpoint_name Primary = primaryOf(State, Service);
  if (findClaim(State.Claims, Service) != nullptr)
    return Primary;
  base::endpoint_name &Last = State.LastListedPrimaries[Service];
  if (!Primary.empty())
    Last = Primary;
  if (!endpointsOf(State.Endpoints.Directory, Service).empty())
    return Last;
  // Nothing can replace it. When endpoints are listed again it may be the next.
  State.MissingPrimaries.erase(Last);
  return Primary;
}

/// Since when no primary of \p Service is known, which has endpoints.
std::optional<instant> primaryUnknownSince(platform_instance_state &State,
                                           const base::service_name &Service,
                                           const base::endpoint_name &Primary) {
  const session::directory &Directory = State.Endpoints.Directory;
  const instant Now = base::now();
  if (!Primary.empty() || endpointsOf(Directory, Service).empty()) {
    State.PrimaryUnknownSince.erase(Service);
    return std::nullopt;
  }
  const auto Noticed = State.PrimaryUnknownSince.try_emplace(Service, Now);
  return session::countsAsMissingSince(Directory, Noticed.first->second, Now);
}

} // namespace

session::handover_view viewOf(platform_instance_state &State,
                              const primary_reports &Reports,
                              const base::service_name &Service) {
  session::handover_view View;
  View.Claim = findClaim(State.Claims, Service);
  View.Primary = primaryOrLastListed(State, Service);
  View.Entry = findEndpoint(State.Endpoints.Directory, View.Primary);
  if (!View.Primary.empty())
    View.MissingSince = missingSince(State, View.Primary);
  View.UnknownSince = primaryUnknownSince(State, Service, View.Primary);
  View.ReplaceableElsewhere =
      View.Entry != nullptr &&
      isEvacuated(State.Evacuations, View.Entry->Zone) &&
      !replacementsFor(State, Service, View.Primary).empty();
  View.Superseded = State.Superseded.contains(Service);
  View.Suspects = countSuspects(State, Reports, Service);
  View.Instances = Reports.Up.size() + 1;
  // A service that was never moved has no orderer.
  if (View.Claim == nullptr)
    return View;
  const session::primary_claim &Claim = View.Claim->Claim;
  View.OrdererReplaced = hasLostOrders(State, Claim);
  auto &Silence = State.OrdererSilence[Service];
  noteOrderer(Silence, Claim.Epoch, Reports.Up.contains(Claim.Orderer),
              base::now());
  if (Silence)
    View.OrdererGoneSince = Silence->Since;
  return View;
}

namespace {

/// Whether to give a primary up, and whether it was found silent.
enum class give_up { No, Yes, Silent };

/// Whether the primary of \p Claim, which instances suspect, has to be
/// replaced. One that answers this instance goes on serving while it is
/// decided; Silent if it does not answer.
base::task<give_up> confirmFailure(platform_instance_state &State,
                                   primary_claim Claim) {
  const auto Status = co_await askOldPrimary(State, Claim);
  if (!Status || Status->Role != session::endpoint_role::Primary ||
      Status->Term < Claim.Term)
    co_return Status ? give_up::Yes : give_up::Silent;
  const instant Answered = base::now();
  auto Verdict = session::suspicion_verdict::Wait;
  while (Verdict == session::suspicion_verdict::Wait && !State.Stopped) {
    co_await pauseWithJitter(State, PrimaryCheckInterval);
    const primary_reports Reports = collectPrimaryReports(State);
    const auto Answering =
        std::chrono::floor<milliseconds>(base::now() - Answered);
    // The same count as in viewOf, so that both decide alike in small fleets.
    Verdict = session::judgeSuspicion(
        countSuspects(State, Reports, Claim.Service), Reports.Up.size() + 1,
        Answering, State.Handover);
  }
  co_return Verdict == session::suspicion_verdict::Replace ? give_up::Yes
                                                           : give_up::No;
}

/// Whether a move may begin. A primary that leaves by plan and still serves is
/// given up only for a replica that can be promoted.
base::task<give_up> mayGiveUp(platform_instance_state &State,
                              base::service_name Service,
                              base::endpoint_name Primary, move_cause Cause) {
  primary_claim Claim;
  if (const auto *Known = findClaim(State.Claims, Service))
    Claim = Known->Claim;
  Claim.Service = Service;
  Claim.Primary = Primary;
  if (Cause == move_cause::Failed)
    co_return co_await confirmFailure(State, std::move(Claim));
  const bool Planned =
      Cause == move_cause::Draining || Cause == move_cause::Evacuated;
  if (!Planned || synchronousReplicas(State, Service) == 0)
    co_return give_up::Yes;
  const bool Replaceable = co_await isReplaceable(State, std::move(Claim));
  co_return Replaceable ? give_up::Yes : give_up::No;
}

base::task<void> movePrimary(platform_instance_ptr State,
                             base::service_name Service, move_cause Cause) {
  const base::endpoint_name Primary = primaryOrLastListed(*State, Service);
  const instant Begun = base::now();
  const std::uint64_t Epoch = epochOf(*State, Service);
  const give_up GiveUp = co_await mayGiveUp(*State, Service, Primary, Cause);
  if (GiveUp == give_up::No) {
    logMove(Service, Primary + (Cause == move_cause::Failed
                                    ? " stays: it answers again."
                                    : " stays: no replica can take over yet."));
    co_await pauseWithJitter(*State, PauseBeforePlannedMove);
    State->Moving.erase(Service);
    co_return;
  }
  std::optional<claimed_move> Move;
  if (epochOf(*State, Service) == Epoch)
    Move = co_await claimMove(*State, Service, Primary);
  if (Move) {
    Move->PrimarySilent = GiveUp == give_up::Silent;
    logMove(Service, "moving the primary from " +
                         (Primary.empty() ? "an unknown one" : Primary) +
                         ", cause " + std::string(moveCauseName(Cause)) + ".");
    const bool Done = co_await executeMove(*State, std::move(*Move));
    const auto Took =
        std::chrono::duration_cast<milliseconds>(base::now() - Begun);
    logMove(Service, std::string(Done ? "moved" : "not moved") + " after " +
                         std::to_string(Took.count()) + " ms.");
  }
  // After a failed step the store reader of that time begins the move again
  // from the rows.
  co_await pauseWithJitter(*State, PrimaryCheckInterval);
  State->Moving.erase(Service);
}

/// The services whose primary this instance has to watch: all for the store
/// reader, otherwise those whose move it has begun while it is the orderer. If
/// two orderers resumed their moves, each claim would end the other's.
std::vector<base::service_name>
watchedServices(const platform_instance_state &State) {
  std::vector<base::service_name> Services;
  if (State.Draining)
    return Services;
  if (isStoreReader(State)) {
    std::ranges::copy(State.Routes->Services | std::views::keys,
                      std::back_inserter(Services));
    return Services;
  }
  for (const auto &[Service, Known] : State.Claims.Known)
    if (Known.Claim.Moving && Known.Claim.Orderer == State.Settings.Name &&
        State.Routes->Services.contains(Service) &&
        !hasLostOrders(State, Known.Claim))
      Services.push_back(Service);
  return Services;
}

/// Moves the primary of \p Service if there is a cause to.
void checkPrimary(platform_instance_ptr State, const primary_reports &Reports,
                  const base::service_name &Service) {
  if (State->Moving.contains(Service))
    return;
  const auto View = viewOf(*State, Reports, Service);
  const move_cause Cause = causeToMove(View, State->Handover, base::now());
  // A primary that serves is not given up before this instance may order.
  const bool Serves = View.Suspects == 0 && (Cause == move_cause::Draining ||
                                             Cause == move_cause::Evacuated);
  if (Cause == move_cause::None ||
      (Serves && !mayBeginPlannedMove(*State, Service)))
    return;
  State->Moving.insert(Service);
  asio::co_spawn(State->Context, movePrimary(State, Service, Cause),
                 asio::detached);
}

void checkPrimaries(platform_instance_ptr State) {
  const auto Services = watchedServices(*State);
  if (Services.empty())
    return;
  const primary_reports Reports = collectPrimaryReports(*State);
  for (const base::service_name &Service : Services)
    checkPrimary(State, Reports, Service);
}

} // namespace

base::task<void> monitorPrimaries(platform_instance_ptr State) {
  while (!State->Stopped) {
    if (State->Peers && State->Routes && State->FleetReadAt) {
      probePrimariesInDoubt(State);
      checkPrimaries(State);
      demoteFormerPrimaries(State);
      maintainHolders(State);
    }
    co_await pauseWithJitter(*State, PrimaryCheckInterval);
  }
}

} // namespace redwinggw
