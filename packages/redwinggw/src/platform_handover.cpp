#include "platform_fleet.hpp"
#include "platform_former_primaries.hpp"
#include "platform_heartbeats.hpp"
#include "platform_holders.hpp"
#include "platform_inquiries.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_probing.hpp"

#include "platform/promoter.hpp"

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
constexpr milliseconds PromotionTimeout{1500};
/// A move that takes longer is abandoned and begun again from the rows. Only
/// the wait for a target that may be promoted has no limit.
constexpr milliseconds MoveTimeout{7000};
/// Between two tries to begin a planned move.
constexpr milliseconds PauseBeforePlannedMove{500};
/// Time for the promotion after a target was found late.
constexpr milliseconds MinPromotionTime{3000};

void logMove(const std::string &Service, const std::string &Text) {
  base::log(base::log_level::Info, base::log_part::Failover,
            "Service " + Service + ": " + Text);
}

std::optional<instant> missingSince(platform_instance_state &State,
                                    const base::endpoint_name &Name) {
  if (findEndpoint(State.Endpoints.Directory, Name) != nullptr) {
    State.MissingPrimaries.erase(Name);
    return std::nullopt;
  }
  return State.MissingPrimaries.try_emplace(Name, base::now()).first->second;
}

session::handover_view viewOf(platform_instance_state &State,
                              const primary_reports &Reports,
                              const base::service_name &Service) {
  session::handover_view View;
  View.Claim = findClaim(State.Claims, Service);
  View.Primary = primaryOf(State, Service);
  View.Entry = findEndpoint(State.Endpoints.Directory, View.Primary);
  if (!View.Primary.empty())
    View.MissingSince = missingSince(State, View.Primary);
  View.ReplaceableElsewhere =
      View.Entry != nullptr &&
      isEvacuated(State.Evacuations, View.Entry->Zone) &&
      !replacementsFor(State, Service, View.Primary).empty();
  View.Suspects = countSuspects(State, Reports, Service);
  View.Instances = Reports.Up.size();
  // A service that was never moved has no orderer.
  if (View.Claim == nullptr)
    return View;
  const session::primary_claim &Claim = View.Claim->Claim;
  auto &Silence = State.OrdererSilence[Service];
  noteOrderer(Silence, Claim.Epoch, Reports.Up.contains(Claim.Orderer),
              base::now());
  if (Silence)
    View.OrdererGoneSince = Silence->Since;
  return View;
}

/// The rows by whose versions a claim is decided.
struct claim_rows {
  storage::row Service;
  storage::row Orderer;
};

storage::row rowAt(const platform::table_rows &Rows, std::string Key) {
  const auto Found =
      std::ranges::find(Rows.Rows, Key, &platform::table_row::Key);
  if (Found == Rows.Rows.end())
    return {std::move(Key), 0, {}};
  return {std::move(Key), Found->Version, Found->Value};
}

/// The newest epoch of the claims in \p Rows.
std::uint64_t newestEpoch(const platform::table_rows &Rows) {
  std::uint64_t Newest = 0;
  for (const platform::table_row &Row : Rows.Rows)
    if (Row.Key.starts_with(session::ClaimPrefix))
      Newest = std::max(Newest, Row.Version);
  return Newest;
}

/// The text of the orderer's row: instance name, incarnation and fencing token.
std::string ordererText(const platform_instance_state &State,
                        std::uint64_t Token) {
  return State.Settings.Name + " " +
         std::to_string(State.Peers->view().Self.Incarnation) + " " +
         std::to_string(Token);
}

/// The fencing token with which this instance may order a promotion: the
/// present one if it is the orderer already, the next one otherwise. \p Text is
/// the orderer's row.
std::uint64_t tokenFor(const platform_instance_state &State,
                       const std::string &Text) {
  const std::size_t Space = Text.rfind(' ');
  if (Space == std::string::npos)
    return 1;
  const std::uint64_t Token = std::stoull(Text.substr(Space + 1));
  return Text == ordererText(State, Token) ? Token : Token + 1;
}

/// Whether a move of the service may have been begun. A row that cannot be
/// parsed does not rule that out.
bool isUnfinished(const storage::row &Row) {
  if (Row.Version == 0)
    return false;
  const auto Former = session::readClaim(Row.Key, Row.Version, Row.Value);
  return !Former || Former->Moving;
}

/// Claims the move of \p Service in the store. Nothing when another instance
/// was first or the store did not answer.
base::task<std::optional<claimed_move>>
claimMove(platform_instance_state &State, base::service_name Service,
          base::endpoint_name Primary) {
  const auto Rows = co_await readFleet(State);
  if (!Rows)
    co_return std::nullopt;
  const claim_rows Found{rowAt(*Rows, session::claimKey(Service)),
                         rowAt(*Rows, std::string(OrdererKey))};
  const std::uint64_t KnownUpTo = State.Claims.CompleteUpTo;
  // Another instance has replaced the primary meanwhile.
  const auto *Known = findClaim(State.Claims, Service);
  if (Known != nullptr && !Known->Claim.Moving &&
      Known->Claim.Primary != Primary)
    co_return std::nullopt;
  claimed_move Move;
  Move.Resumed = isUnfinished(Found.Service);
  const std::string FormerClaim = Found.Service.Value;
  const std::string FormerOrderer = Found.Orderer.Value;
  primary_claim &Claim = Move.Claim;
  Claim.Service = Service;
  Claim.Primary = Primary;
  Claim.Moving = true;
  Claim.Orderer = State.Settings.Name;
  Claim.Token = tokenFor(State, Found.Orderer.Value);
  Claim.Term = Known == nullptr ? 0 : Known->Claim.Term;
  storage::commit_request Request;
  Request.Checks.push_back({Found.Service.Key, Found.Service.Version});
  Request.Checks.push_back({Found.Orderer.Key, Found.Orderer.Version});
  Request.Puts.push_back({Found.Service.Key, claimText(Claim)});
  Request.Puts.push_back({Found.Orderer.Key, ordererText(State, Claim.Token)});
  const auto Versions =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Versions)
    co_return std::nullopt;
  Claim.Epoch = Versions->front();
  acceptClaim(State, Claim);
  // Moves are begun one after the other, since each changes the orderer's row.
  if (KnownUpTo >= newestEpoch(*Rows))
    acknowledgeClaims(State, Claim.Epoch);
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "move_claimed",
                 {{"service", Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"token", std::to_string(Claim.Token)},
                  {"resumed", Move.Resumed ? "true" : "false"},
                  {"former_claim", FormerClaim},
                  {"former_orderer", FormerOrderer}});
  co_return Move;
}

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

/// Records which instances have acknowledged \p Claim.
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

void logOrderEnd(const primary_claim &Claim, const base::endpoint_name &Target,
                 platform::promotion_outcome Outcome, instant Sent) {
  const auto Took =
      std::chrono::duration_cast<milliseconds>(base::now() - Sent);
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "promotion_order_ended",
                 {{"service", Claim.Service},
                  {"epoch", std::to_string(Claim.Epoch)},
                  {"target", Target},
                  {"token", std::to_string(Claim.Token)},
                  {"outcome", std::string(outcomeName(Outcome))},
                  {"after_ms", std::to_string(Took.count())}});
}

/// Orders the promotion, repeatedly until the platform accepts or refuses it.
/// False when it was refused, at \p Deadline, when a later claim is known or
/// when one may exist unnoticed: a late order would replace the primary that
/// its orderer has promoted.
base::task<bool> promote(platform_instance_state &State,
                         const primary_claim &Claim, base::endpoint_name Target,
                         instant Deadline) {
  while (base::now() < Deadline && isCurrent(State, Claim) &&
         mayTrustClaims(State)) {
    platform::promotion_order Order{Claim.Service, Target, Claim.Orderer,
                                    Claim.Token};
    logOrder(Order, Claim.Epoch);
    const instant Sent = base::now();
    State.PromotionsInFlight.insert(Claim.Service);
    State.Peers->setVouchesForOthers(false);
    const auto Outcome = co_await platform::orderPromotion(
        State.Promotions, std::move(Order), base::now() + PromotionTimeout);
    State.PromotionsInFlight.erase(Claim.Service);
    State.LastPromotionEndedAt = base::now();
    acknowledgeClaims(State, 0);
    logOrderEnd(Claim, Target, Outcome, Sent);
    if (Outcome != platform::promotion_outcome::Unknown)
      co_return Outcome == platform::promotion_outcome::Accepted;
    co_await pauseWithJitter(State, 5 * StepPause);
  }
  co_return false;
}

/// Waits until the promotion of \p Target, which the platform has accepted, has
/// taken effect. The term that it leads; nothing when the target is not listed
/// any more, at \p Deadline or when a later claim is known.
base::task<std::optional<base::term_number>>
awaitPromotion(platform_instance_state &State, const primary_claim &Claim,
               promotion_target Target, session::order_times Times,
               instant Deadline) {
  while (base::now() < Deadline && isCurrent(State, Claim)) {
    const auto *Entry = findEndpoint(State.Endpoints.Directory, Target.Name);
    if (Entry == nullptr)
      co_return std::nullopt;
    const session::endpoint_entry Copy = *Entry;
    const instant Asked = base::now();
    const auto Status = co_await inquire(State, Claim, Copy);
    if (Status.Status &&
        hasTakenEffect(Target.Start, *Status.Status, Asked, Times))
      co_return Status.Status->Term;
    co_await pauseWithJitter(State, 2 * StepPause);
  }
  co_return std::nullopt;
}

/// Has \p Target promoted. The term that it leads then; nothing if that failed.
base::task<std::optional<base::term_number>>
promoteAndAwait(platform_instance_state &State, const primary_claim &Claim,
                promotion_target Target, session::order_times Times,
                instant Deadline) {
  logMove(Claim.Service, "promoting " + Target.Name + ".");
  const bool Accepted = co_await promote(State, Claim, Target.Name, Deadline);
  if (!Accepted)
    co_return std::nullopt;
  Times.Accepted = base::now();
  co_return co_await awaitPromotion(State, Claim, std::move(Target), Times,
                                    Deadline);
}

/// Announces the new primary and the term that it leads to the instances,
/// then writes them to the store. The store may be down, and the instances need
/// not wait for it.
base::task<void> finishMove(platform_instance_state &State, primary_claim Claim,
                            base::endpoint_name Target,
                            base::term_number Term) {
  const std::uint64_t Epoch = Claim.Epoch;
  Claim.Primary = std::move(Target);
  Claim.Moving = false;
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

/// Executes a claimed move. True when the service has a primary again.
base::task<bool> executeMove(platform_instance_state &State,
                             const claimed_move &Move) {
  const primary_claim &Claim = Move.Claim;
  const instant Deadline = base::now() + MoveTimeout;
  const bool NoInstanceUsesOldPrimary =
      co_await awaitAcknowledgements(State, Claim, Deadline);
  if (!NoInstanceUsesOldPrimary) {
    // The move is abandoned: it was not acknowledged in time, or a later claim
    // is known.
    logMove(Claim.Service,
            "the move waits for acknowledgements of half of the instances.");
    co_return false;
  }
  session::order_times Times;
  Times.PromotionTime = State.Handover.PromotionTime;
  if (Move.Resumed) {
    delayInquiries(State, Claim.Service);
    // An earlier orderer acknowledges only when its own order has ended, or
    // has lost the lease without which it orders nothing.
    Times.EarlierOrdersUntil = base::now() + Times.PromotionTime;
  }
  const auto Target = co_await findTarget(State, Move);
  if (!Target) {
    logMove(Claim.Service, "another instance has claimed the move.");
    co_return false;
  }
  if (Target->Stays) {
    logMove(Claim.Service,
            "no endpoint can take over; the old primary is kept.");
    co_await finishMove(State, Claim, Claim.Primary, Target->Start.Newest);
    co_return true;
  }
  const instant PromoteBy = std::max(Deadline, base::now() + MinPromotionTime);
  const auto Term =
      co_await promoteAndAwait(State, Claim, *Target, Times, PromoteBy);
  if (!Term) {
    logMove(Claim.Service, Target->Name + " did not become primary.");
    co_return false;
  }
  co_await finishMove(State, Claim, Target->Name, *Term);
  co_return true;
}

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
    Verdict =
        session::judgeSuspicion(countSuspects(State, Reports, Claim.Service),
                                Reports.Up.size(), Answering, State.Handover);
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
  const base::endpoint_name Primary = primaryOf(*State, Service);
  const instant Begun = base::now();
  const give_up GiveUp = co_await mayGiveUp(*State, Service, Primary, Cause);
  if (GiveUp == give_up::No) {
    logMove(Service, Primary + (Cause == move_cause::Failed
                                    ? " stays: it answers again."
                                    : " stays: no replica can take over yet."));
    co_await pauseWithJitter(*State, PauseBeforePlannedMove);
    State->Moving.erase(Service);
    co_return;
  }
  auto Move = co_await claimMove(*State, Service, Primary);
  if (Move) {
    Move->PrimarySilent = GiveUp == give_up::Silent;
    logMove(Service, "moving the primary from " + Primary + ", cause " +
                         std::string(moveCauseName(Cause)) + ".");
    const bool Done = co_await executeMove(*State, *Move);
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
/// reader, otherwise those whose move it has begun.
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
        State.Routes->Services.contains(Service))
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
  if (Cause == move_cause::None)
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
