#include "redwinggw/control/bucket_requests.hpp"

#include "redwinggw/control/centralized_buckets.hpp"

namespace redwinggw::control {
namespace {

using base::instant;

bool isSkipped(const bucket_requests &Requests, std::string_view Instance,
               instant Now) {
  const auto Found = Requests.Unanswered.find(Instance);
  return Found != Requests.Unanswered.end() &&
         Now - Found->second.LastAt < OwnerSkipTime;
}

std::optional<instant> unansweredSince(const bucket_requests &Requests,
                                       std::string_view Instance) {
  const auto Found = Requests.Unanswered.find(Instance);
  return Found == Requests.Unanswered.end()
             ? std::nullopt
             : std::optional(Found->second.Since);
}

/// Whether a relay has heard \p Owner since this instance got no answer from
/// it: it is alive, and cannot be reached from here. Relayed times are
/// estimates, hence the margin.
bool isHeardSince(const bucket_requests &Requests, const member &Owner) {
  constexpr base::milliseconds Margin{100};
  const auto Since = unansweredSince(Requests, Owner.Name);
  return Since && Owner.HeardAt && *Owner.HeardAt > *Since + Margin;
}

} // namespace

void noteRequest(bucket_requests &Requests, std::string_view Instance,
                 bool Answered, instant Sent) {
  const auto Found = Requests.Unanswered.find(Instance);
  const bool Known = Found != Requests.Unanswered.end();
  if (Answered && Known)
    Requests.Unanswered.erase(Found);
  else if (!Answered && Known)
    Found->second.LastAt = Sent;
  else if (!Answered)
    Requests.Unanswered.emplace(Instance, unanswered_requests{Sent, Sent});
}

std::vector<token_source> planRequests(const bucket_requests &Requests,
                                       const member &Owner,
                                       const member *Successor, instant Now) {
  std::vector<token_source> Plan;
  const bool OwnerLast = isSkipped(Requests, Owner.Name, Now);
  const bool AsksReserve =
      Successor == nullptr || !isSkipped(Requests, Successor->Name, Now);
  if (!OwnerLast)
    Plan.push_back(token_source::Owner);
  if (AsksReserve)
    Plan.push_back(token_source::Reserve);
  if (OwnerLast)
    Plan.push_back(token_source::Owner);
  return Plan;
}

base::microseconds tokenExpected(const bucket_requests &Requests,
                                 const demand_shares &Shares,
                                 const membership &Membership,
                                 std::string_view Customer, instant Now) {
  const member *Owner = bucketOwner(Shares, Membership, Customer);
  // It is not replaced, and asked again after this time.
  if (Owner != nullptr && isHeardSince(Requests, *Owner))
    return OwnerSkipTime;
  return nextOwnerExpected(
      Shares, Membership, Customer,
      Owner == nullptr ? std::nullopt : unansweredSince(Requests, Owner->Name),
      Now);
}

} // namespace redwinggw::control
