#include "platform_inquiries.hpp"
#include "platform_loops.hpp"
#include "platform_probing.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace redwinggw {

using base::instant;
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
                                             session::endpoint_entry Entry) {
  session::status_exchange Status;
  const auto Pool = poolOf(State.Endpoints, Entry.Name);
  while (Pool && !mayInquire(State, Pool->cold())) {
    co_await pauseWithJitter(State, StepPause);
    if (State.Stopped || !isCurrent(State, Claim))
      co_return Status;
  }
  const session::pool_ptr NoTokens;
  Status = co_await askStatus(State, std::move(Entry), StatusTimeout, NoTokens);
  if (Pool)
    noteInquiryEnded(Pool->cold(), base::now());
  co_return Status;
}

void delayInquiries(platform_instance_state &State,
                    const base::service_name &Service) {
  for (const session::endpoint_entry *Entry :
       endpointsOf(State.Endpoints.Directory, Service))
    if (const auto Pool = poolOf(State.Endpoints, Entry->Name))
      noteInquiryEnded(Pool->cold(), base::now());
}

namespace {

/// The endpoints that could take over and answer, with what they have received.
base::task<std::vector<session::move_candidate>>
askCandidates(platform_instance_state &State, const primary_claim &Claim) {
  const auto Entries = replacementsFor(State, Claim.Service, Claim.Primary);
  std::vector<session::move_candidate> Candidates;
  for (const session::endpoint_entry &Entry : Entries) {
    const auto Status = co_await inquire(State, Claim, Entry);
    if (Status.Status)
      Candidates.push_back(
          {Entry.Name, Entry.Draining, Status.Status->Received});
  }
  co_return Candidates;
}

} // namespace

base::task<std::optional<session::endpoint_status>>
askOldPrimary(platform_instance_state &State, const primary_claim &Claim) {
  const auto *Entry = findEndpoint(State.Endpoints.Directory, Claim.Primary);
  if (Entry == nullptr)
    co_return std::nullopt;
  const session::endpoint_entry Copy = *Entry;
  const auto Status = co_await inquire(State, Claim, Copy);
  co_return Status.Status;
}

base::task<base::endpoint_name> findTarget(platform_instance_state &State,
                                           const primary_claim &Claim) {
  const auto Old = co_await askOldPrimary(State, Claim);
  std::optional<session::log_point> Needed;
  if (Old)
    Needed = Old->Received;
  const instant Latest = base::now() + State.Handover.CatchUpTimeout;
  while (true) {
    const auto Candidates = co_await askCandidates(State, Claim);
    const bool MayStillWait = base::now() < Latest;
    if (!MayStillWait)
      Needed.reset();
    if (const auto *Target = chooseTarget(Candidates, Needed))
      co_return Target->Name;
    if (!MayStillWait)
      co_return base::endpoint_name();
    co_await pauseWithJitter(State, StepPause);
  }
}

} // namespace redwinggw
