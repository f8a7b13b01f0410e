#include "platform_inquiries.hpp"
#include "platform_claim.hpp"
#include "platform_holders.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_probing.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace redwinggw {

using base::instant;
using base::milliseconds;
using session::primary_claim;

namespace {

constexpr base::milliseconds StatusTimeout{400};

} // namespace

bool isCurrent(const platform_instance_state &State,
               const primary_claim &Claim) {
  const auto *Known = findClaim(State.Claims, Claim.Service);
  return Known != nullptr && Known->Claim.Epoch == Claim.Epoch;
}

std::vector<session::endpoint_entry>
replacementsFor(const platform_instance_state &State,
                const base::service_name &Service,
                const base::endpoint_name &Primary) {
  std::vector<session::endpoint_entry> Entries;
  for (const session::endpoint_entry *Entry :
       endpointsOf(State.Endpoints.Directory, Service))
    if (Entry->Name != Primary && !isEvacuated(State.Evacuations, Entry->Zone))
      Entries.push_back(*Entry);
  return Entries;
}

namespace {

/// Whether this instance may inquire without tokens at an endpoint that may be
/// cold. An orderer that is cut off waits, since another may replace it.
bool mayInquire(platform_instance_state &State, session::cold_rate &Cold) {
  const instant Now = base::now();
  if (isCold(Cold, Now) && !State.Peers->inContactWithMajority(Now))
    return false;
  return takeInquiry(Cold, Now);
}

} // namespace

base::task<session::status_exchange> inquire(platform_instance_state &State,
                                             primary_claim Claim,
                                             session::endpoint_entry Entry,
                                             status_request Request) {
  session::status_exchange Status;
  const auto Pool = poolOf(State.Endpoints, Entry.Name);
  while (Pool && !mayInquire(State, Pool->cold())) {
    co_await pauseWithJitter(State, StepPause);
    if (State.Stopped || !isCurrent(State, Claim))
      co_return Status;
  }
  const session::pool_ptr NoTokens;
  Status = co_await askStatus(State, std::move(Entry), StatusTimeout, NoTokens,
                              Request);
  if (Pool)
    noteInquiryEnded(Pool->cold(), base::now());
  co_return Status;
}

namespace {

/// The newest term that is agreed on. Heartbeats may have told a newer one than
/// the claimed row did.
base::term_number agreedTerm(const platform_instance_state &State,
                             const primary_claim &Claim) {
  const auto *Known = findClaim(State.Claims, Claim.Service);
  return Known == nullptr ? Claim.Term : Known->Claim.Term;
}

} // namespace

base::task<session::status_exchange>
inquireAndDemote(platform_instance_state &State, primary_claim Claim,
                 session::endpoint_entry Entry) {
  auto Status = co_await inquire(State, Claim, Entry);
  const base::term_number Agreed = agreedTerm(State, Claim);
  const bool Replaced =
      Status.Status && Status.Status->Role == session::endpoint_role::Primary &&
      Status.Status->Term < Agreed;
  if (!Replaced)
    co_return Status;
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "former_primary_demoted",
                 {{"service", Claim.Service},
                  {"endpoint", Entry.Name},
                  {"term", std::to_string(Status.Status->Term)},
                  {"agreed_term", std::to_string(Agreed)}});
  const status_request Demotion{session::status_command::Demote, Agreed};
  co_return co_await inquire(State, std::move(Claim), std::move(Entry),
                             Demotion);
}

void delayInquiries(platform_instance_state &State,
                    const base::service_name &Service) {
  for (const session::endpoint_entry *Entry :
       endpointsOf(State.Endpoints.Directory, Service))
    if (const auto Pool = poolOf(State.Endpoints, Entry->Name))
      noteInquiryEnded(Pool->cold(), base::now());
}

namespace {

/// An inquiry at the unlisted holders of a record: they are asked all at the
/// same time.
struct unlisted_inquiry {
  std::size_t Left = 0;
  unlisted_answers Answers;
};

base::task<void> askUnlistedHolder(platform_instance_ptr State,
                                   primary_claim Claim,
                                   base::endpoint_name Name,
                                   session::endpoint_entry Entry,
                                   std::shared_ptr<unlisted_inquiry> Inquiry) {
  const auto Status =
      co_await inquire(*State, std::move(Claim), std::move(Entry));
  const bool Elsewhere =
      Status.Error && Status.Error->Code == session::answer_code::Misrouted;
  const bool Alive =
      Status.Outcome == session::exchange_outcome::Answered && !Elsewhere;
  (Alive ? Inquiry->Answers.Alive : Inquiry->Answers.Silent).insert(Name);
  if (Status.Status)
    Inquiry->Answers.Statuses.emplace(std::move(Name), *Status.Status);
  --Inquiry->Left;
}

/// Begins to ask the holders that are not listed.
std::shared_ptr<unlisted_inquiry>
beginInquiry(platform_instance_state &State, const primary_claim &Claim,
             const session::holder_record &Record,
             const std::vector<base::endpoint_name> &Unlisted) {
  auto Inquiry = std::make_shared<unlisted_inquiry>();
  for (const base::endpoint_name &Name : Unlisted) {
    const session::recorded_holder &Holder = Record.Holders.at(Name);
    if (isEvacuated(State.Evacuations, Holder.Zone))
      continue;
    // It may have been started again under another name.
    session::endpoint_entry Entry;
    Entry.Service = Record.Service;
    Entry.Address = Holder.Address;
    ++Inquiry->Left;
    boost::asio::co_spawn(State.Context,
                          askUnlistedHolder(State.shared_from_this(), Claim,
                                            Name, Entry, Inquiry),
                          boost::asio::detached);
  }
  return Inquiry;
}

base::task<unlisted_answers>
awaitInquiry(platform_instance_state &State,
             std::shared_ptr<unlisted_inquiry> Inquiry) {
  while (Inquiry->Left != 0 && !State.Stopped)
    co_await pauseWithJitter(State, StepPause);
  co_return Inquiry->Answers;
}

void noteStatus(session::log_holder &Holder,
                const session::endpoint_status &Status) {
  Holder.Received = Status.Received;
  Holder.Term = Status.Term;
  Holder.Leads = Status.Role == session::endpoint_role::Primary;
}

/// The endpoints that may hold acknowledged commits. Of these the old primary,
/// if it is listed and has reported \p Old, and those in evacuated zones are
/// not asked. Unlisted ones are no candidates, whatever they answer, but it
/// shows what they hold.
base::task<std::vector<session::log_holder>>
askHolders(platform_instance_state &State, const primary_claim &Claim,
           const std::optional<session::endpoint_status> &Old) {
  auto Holders = holdersOf(State, Claim);
  const session::holder_record Record = recordedHolders(State, Claim);
  const auto Inquiry =
      beginInquiry(State, Claim, Record, holdersToAsk(State, Record));
  for (session::log_holder &Holder : Holders) {
    if (Holder.Name == Claim.Primary && Old)
      noteStatus(Holder, *Old);
    const auto *Entry = findEndpoint(State.Endpoints.Directory, Holder.Name);
    if (!Holder.Eligible || Entry == nullptr)
      continue;
    const session::endpoint_entry Copy = *Entry;
    const auto Status = co_await inquireAndDemote(State, Claim, Copy);
    if (Status.Status)
      noteStatus(Holder, *Status.Status);
  }
  const unlisted_answers Unlisted = co_await awaitInquiry(State, Inquiry);
  for (const auto &[Name, Status] : Unlisted.Statuses) {
    const auto Found =
        std::ranges::find(Holders, Name, &session::log_holder::Name);
    if (Found == Holders.end())
      continue;
    Found->Received = Status.Received;
    Found->Term = Status.Term;
  }
  co_return Holders;
}

void logEvidence(const primary_claim &Claim, const session::order_view &View,
                 const session::order_decision *Decision) {
  base::logEvent(
      Decision == nullptr ? base::log_level::Warning : base::log_level::Info,
      base::log_part::Failover, "promotion_evidence",
      {{"service", Claim.Service},
       {"epoch", std::to_string(Claim.Epoch)},
       {"synchronous_replicas", std::to_string(View.Rule.SynchronousReplicas)},
       {"agreed_term", std::to_string(View.Rule.AgreedTerm)},
       {"received", describe(View.Holders)},
       {"recorded", View.Target.value_or("unknown")},
       {"settled", View.OrdersSettled ? "true" : "false"},
       {"step", Decision == nullptr
                    ? "wait"
                    : std::string(orderStepName(Decision->Step))},
       {"target", Decision == nullptr ? "none" : Decision->Endpoint}});
}

/// Logs a decision when it changes, and once in a while that there is none.
void logDecision(const primary_claim &Claim, const session::order_view &View,
                 const session::order_decision &Decision,
                 inquiry_rounds &Rounds) {
  constexpr milliseconds LogInterval{5000};
  const bool Waits = Decision.Step == session::order_step::Wait;
  const bool Changed = Decision.Step != Rounds.LoggedStep ||
                       Decision.Endpoint != Rounds.LoggedEndpoint;
  if (Waits && base::now() >= Rounds.LogDue) {
    logEvidence(Claim, View, nullptr);
    Rounds.LogDue = base::now() + LogInterval;
  }
  if (!Waits && Changed)
    logEvidence(Claim, View, &Decision);
  Rounds.LoggedStep = Decision.Step;
  Rounds.LoggedEndpoint = Decision.Endpoint;
}

/// Whether the old primary is to be asked again: one in an evacuated zone gets
/// nothing more than the first inquiries.
bool mayAskAgain(const platform_instance_state &State,
                 const primary_claim &Claim) {
  const auto *Entry = findEndpoint(State.Endpoints.Directory, Claim.Primary);
  return Entry != nullptr && !isEvacuated(State.Evacuations, Entry->Zone);
}

} // namespace

base::task<unlisted_answers>
askUnlisted(platform_instance_state &State, primary_claim Claim,
            session::holder_record Record,
            std::vector<base::endpoint_name> Unlisted) {
  co_return co_await awaitInquiry(State,
                                  beginInquiry(State, Claim, Record, Unlisted));
}

base::task<std::optional<session::endpoint_status>>
askOldPrimary(platform_instance_state &State, const primary_claim &Claim) {
  const auto *Entry = findEndpoint(State.Endpoints.Directory, Claim.Primary);
  if (Entry == nullptr)
    co_return std::nullopt;
  const session::endpoint_entry Copy = *Entry;
  const auto Status = co_await inquire(State, Claim, Copy);
  co_return Status.Status;
}

namespace {

session::promotion_rule ruleFor(const platform_instance_state &State,
                                const primary_claim &Claim,
                                std::optional<session::log_point> Needed) {
  session::promotion_rule Rule;
  Rule.SynchronousReplicas = synchronousReplicas(State, Claim.Service);
  Rule.Needed = Needed;
  Rule.AgreedTerm = agreedTerm(State, Claim);
  return Rule;
}

/// Since when no endpoint of the agreed term is to be expected, \p Since after
/// the round of inquiries before. Nothing while there may be one.
std::optional<instant>
lostSince(const platform_instance_state &State, const primary_claim &Claim,
          const std::vector<session::log_holder> &Holders,
          base::term_number AgreedTerm, std::optional<instant> Since) {
  const bool Listed =
      findEndpoint(State.Endpoints.Directory, Claim.Primary) != nullptr;
  if (!isTermLost(Holders, AgreedTerm, Claim.Primary, Listed))
    return std::nullopt;
  return Since.value_or(base::now());
}

} // namespace

base::task<inquiry_rounds> beginInquiries(platform_instance_state &State,
                                          const claimed_move &Move) {
  inquiry_rounds Rounds;
  if (!Move.PrimarySilent)
    Rounds.Old = co_await askOldPrimary(State, Move.Claim);
  Rounds.CatchUpUntil = base::now() + State.Handover.CatchUpTimeout;
  Rounds.LogDue = Rounds.CatchUpUntil;
  co_return Rounds;
}

base::task<session::order_decision> decideRound(platform_instance_state &State,
                                                const claimed_move &Move,
                                                inquiry_rounds &Rounds) {
  // An endpoint that is refused may be starting.
  constexpr milliseconds RefusedFor{1000};
  const primary_claim &Claim = Move.Claim;
  session::order_view View;
  View.Holders = co_await askHolders(State, Claim, Rounds.Old);
  const instant Now = base::now();
  for (const auto &[Name, At] : Rounds.RefusedAt)
    for (session::log_holder &Holder : View.Holders)
      if (Holder.Name == Name && Now - At < RefusedFor)
        Holder.Eligible = false;
  const bool MayCatchUp = Now < Rounds.CatchUpUntil;
  std::optional<session::log_point> Needed;
  if (Rounds.Old && MayCatchUp)
    Needed = Rounds.Old->Received;
  View.Rule = ruleFor(State, Claim, Needed);
  const base::term_number Agreed = View.Rule.AgreedTerm;
  Rounds.TermLostSince =
      lostSince(State, Claim, View.Holders, Agreed, Rounds.TermLostSince);
  if (Rounds.TermLostSince &&
      Now - *Rounds.TermLostSince > State.Handover.TermLostAfter)
    View.Rule.AgreedTerm = 0;
  View.Primary = Claim.Primary;
  View.Target = Claim.Target;
  View.OrdersSettled = areOrdersSettled(State, Claim.Service);
  View.MayKeepPrimary = !MayCatchUp;
  auto Decision = decideOrder(View);
  Decision.Start.Newest = std::max(Decision.Start.Newest, Agreed);
  logDecision(Claim, View, Decision, Rounds);
  // One that is silent takes the whole time limit.
  if (Decision.Step == session::order_step::Wait && mayAskAgain(State, Claim))
    Rounds.Old = co_await askOldPrimary(State, Claim);
  co_return Decision;
}

base::task<bool> isReplaceable(platform_instance_state &State,
                               primary_claim Claim) {
  const auto Primary = co_await askOldPrimary(State, Claim);
  if (!Primary)
    co_return true;
  const instant Latest = base::now() + State.Handover.CatchUpTimeout;
  while (base::now() < Latest && !State.Stopped) {
    const auto Holders = co_await askHolders(State, Claim, Primary);
    const auto Rule = ruleFor(State, Claim, Primary->Received);
    if (chooseTarget(Holders, Rule) != nullptr)
      co_return true;
    co_await pauseWithJitter(State, 5 * StepPause);
  }
  co_return false;
}

} // namespace redwinggw
