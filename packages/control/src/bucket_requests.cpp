#include "redwinggw/control/bucket_requests.hpp"

namespace redwinggw::control {
namespace {

using base::instant;

bool isSkipped(const bucket_requests &Requests, std::string_view Instance,
               instant Now) {
  const auto Found = Requests.Unanswered.find(Instance);
  return Found != Requests.Unanswered.end() &&
         Now - Found->second.LastAt < OwnerSkipTime;
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

} // namespace redwinggw::control
