#include "platform_primaries.hpp"
#include "platform_heartbeats.hpp"
#include "platform_holders.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>

/// Which endpoint is each service's primary, and whether this instance may use
/// it.
namespace redwinggw {
namespace {

using base::milliseconds;

/// Time from a claim until the new primary serves: the acknowledgements, and
/// the platform's promotion of up to a second.
constexpr milliseconds ExpectedMoveTime{1300};

/// The freshness to log. The rows of a large fleet are read so rarely that a
/// majority confirms them most of the time. That is an outage only if the store
/// answers nobody.
control::config_freshness loggedFreshness(const control::membership &Membership,
                                          control::config_freshness Freshness,
                                          base::instant Now) {
  using enum control::config_freshness;
  const auto Contact = lastStoreContact(Membership.Store);
  const bool StoreAnswers =
      Contact && Now - *Contact <= Membership.Limits.MaxStoreContactAge;
  return Freshness == Outage && StoreAnswers ? Current : Freshness;
}

} // namespace

bool mayTrustClaims(platform_instance_state &State) {
  if (!State.Peers)
    return false;
  const base::instant Now = base::now();
  const control::config_freshness Freshness = State.Peers->configFreshness(Now);
  const control::config_freshness Logged =
      loggedFreshness(State.Peers->view(), Freshness, Now);
  if (Logged != State.LoggedFreshness)
    base::logEvent(
        base::log_level::Info, base::log_part::Peers, "in_touch",
        {{"was", std::string(configFreshnessName(State.LoggedFreshness))},
         {"is", std::string(configFreshnessName(Logged))},
         {"claims", std::to_string(State.Claims.Version)}});
  State.LoggedFreshness = Logged;
  return Freshness != control::config_freshness::Isolated;
}

void noteStoreResult(platform_instance_state &State, bool Answered,
                     std::string_view Reason) {
  if (Answered == State.StorePacing.Answers)
    return;
  State.StorePacing.Answers = Answered;
  base::logEvent(Answered ? base::log_level::Info : base::log_level::Warning,
                 base::log_part::Platform,
                 Answered ? "store_regained" : "store_lost",
                 {{"reason", std::string(Reason)}});
}

base::endpoint_name primaryOf(const platform_instance_state &State,
                              std::string_view Service) {
  if (const auto *Known = findClaim(State.Claims, Service))
    return Known->Claim.Primary;
  for (const session::endpoint_entry *Entry :
       endpointsOf(State.Endpoints.Directory, Service))
    if (Entry->Role == session::endpoint_role::Primary)
      return Entry->Name;
  return recordedPrimary(State, Service);
}

std::optional<session::primary_lease>
primaryLeaseFor(platform_instance_state &State, std::string_view Service) {
  const auto *Known = findClaim(State.Claims, Service);
  if (Known != nullptr && Known->Claim.Moving)
    return std::nullopt;
  base::endpoint_name Primary = primaryOf(State, Service);
  if (Primary.empty() || !mayTrustClaims(State))
    return std::nullopt;
  return session::primary_lease{std::string(Service), std::move(Primary),
                                Known == nullptr ? 0 : Known->Claim.Epoch};
}

std::optional<milliseconds>
primaryExpected(const platform_instance_state &State,
                std::string_view Service) {
  const auto *Known = findClaim(State.Claims, Service);
  if (Known == nullptr || !Known->Claim.Moving)
    return std::nullopt;
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(base::now() - Known->Since);
  // A move that takes longer is stuck, for an unknown time.
  constexpr milliseconds Stuck = 2 * ExpectedMoveTime;
  if (Elapsed > Stuck)
    return std::nullopt;
  constexpr milliseconds Min{100};
  return std::max(Min, ExpectedMoveTime - Elapsed);
}

namespace {

/// Whether another instance has begun a move that is not acknowledged here.
bool hasUnacknowledgedMove(const platform_instance_state &State) {
  return std::ranges::any_of(State.Claims.Known, [&](const auto &Entry) {
    const session::primary_claim &Claim = Entry.second.Claim;
    return Claim.Moving && Claim.Orderer != State.Settings.Name &&
           Claim.Epoch > State.Claims.CompleteUpTo;
  });
}

} // namespace

void acknowledgeClaims(platform_instance_state &State, std::uint64_t Epoch) {
  State.EpochToAcknowledge = std::max(State.EpochToAcknowledge, Epoch);
  // After an acknowledgement another instance may order promotions. An order
  // that is unanswered here could then take effect after that one's.
  const bool OrderMayArrive = !State.PromotionsInFlight.empty();
  if (State.EpochToAcknowledge <= State.Claims.CompleteUpTo ||
      (OrderMayArrive && hasUnacknowledgedMove(State)))
    return;
  noteComplete(State.Claims, State.EpochToAcknowledge);
  announceClaims(State);
}

namespace {

/// Notes that another instance has claimed or finished a move. \p Former is the
/// service's claim that was known before.
void noteOtherOrderer(platform_instance_state &State,
                      const session::primary_claim &Claim,
                      const std::optional<session::primary_claim> &Former) {
  // A move is finished without being the orderer any more.
  const bool Finished = !Claim.Moving && Former && Former->Moving &&
                        Former->Orderer == Claim.Orderer;
  if (!Finished)
    State.OthersClaimedUpTo = std::max(State.OthersClaimedUpTo, Claim.Epoch);
  // Claims that were finished before this instance started tell nothing.
  if (!Claim.Moving && State.FleetReadAt)
    State.OthersOrderedAt = base::now();
}

} // namespace

bool acceptClaim(platform_instance_state &State,
                 const session::primary_claim &Claim) {
  std::optional<session::primary_claim> Former;
  if (const auto *Known = findClaim(State.Claims, Claim.Service))
    Former = Known->Claim;
  if (!applyClaim(State.Claims, Claim, base::now()))
    return false;
  if (Claim.Orderer != State.Settings.Name)
    noteOtherOrderer(State, Claim, Former);
  State.Superseded.erase(Claim.Service);
  announceClaims(State);
  const auto Term = findClaim(State.Claims, Claim.Service)->Claim.Term;
  // A move has begun when Moving is set; the old primary may still be kept.
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 Claim.Moving ? "primary_given_up" : "primary_agreed",
                 {{"service", Claim.Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"primary", Claim.Primary},
                  {"term", std::to_string(Term)},
                  {"orderer", Claim.Orderer},
                  {"token", std::to_string(Claim.Token)}});
  return true;
}

std::vector<base::service_name>
suspectServices(const platform_instance_state &State) {
  std::vector<base::service_name> Services;
  const base::instant Now = base::now();
  for (const auto &[Name, Pool] : State.Endpoints.Pools) {
    const base::service_name &Service = Pool->entry().Service;
    if (isSuspect(Pool->health(), State.Handover, Now) &&
        State.Routes->Services.contains(Service) &&
        primaryOf(State, Service) == Name)
      Services.push_back(Service);
  }
  return Services;
}

bool suspects(const platform_instance_state &State, std::string_view Service) {
  const auto Pool = findPool(State.Endpoints, primaryOf(State, Service));
  return Pool && isSuspect(Pool->health(), State.Handover, base::now());
}

} // namespace redwinggw
