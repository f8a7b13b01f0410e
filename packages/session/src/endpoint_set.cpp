#include "redwinggw/session/endpoint_set.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

choice_candidate candidateOf(const endpoint_pool &Pool,
                             std::string_view Customer, std::string_view Zone,
                             bool IsPrimary, base::instant Now) {
  const endpoint_entry &Entry = Pool.entry();
  const endpoint_health &Health = Pool.health();
  choice_candidate Candidate;
  Candidate.Name = Entry.Name;
  Candidate.IsPrimary = IsPrimary;
  Candidate.SameZone = Entry.Zone == Zone;
  Candidate.Draining = Entry.Draining;
  Candidate.Cold = isCold(Pool.cold(), Now);
  const bool Forwarded = Pool.isOwnedElsewhere();
  Candidate.HasIdle = Forwarded || Pool.hasIdle(Customer);
  Candidate.Exhausted = !Forwarded && Pool.isExhausted();
  Candidate.Load = Pool.load(Now);
  Candidate.Slots = Entry.Slots;
  Candidate.LatencyMs = Health.Latency;
  Candidate.Failures = Health.Failures;
  Candidate.LastFailure = Health.LastFailure;
  return Candidate;
}

pool_ptr openPool(endpoint_set &Set, const known_endpoint &Known,
                  base::instant Now) {
  auto Pool = std::make_shared<endpoint_pool>(Set.Executor, Set.Watch,
                                              Set.Factory, Known.Entry);
  if (Set.ConfigureNew)
    Set.ConfigureNew(*Pool);
  setColdUntil(Pool->cold(), Known.ColdUntil, Now);
  Set.Pools[Known.Entry.Name] = Pool;
  return Pool;
}

void replacePool(endpoint_set &Set, const base::endpoint_name &Name,
                 base::instant Now) {
  const pool_ptr Former = findPool(Set, Name);
  if (!Former)
    return;
  // A former pool stays alive while statements use its connections. It must not
  // send to the restarted endpoint beside the new one.
  Former->cold().SendUntil.reset();
  presumeCold(Former->cold(), Now);
  openPool(Set, Set.Directory.Endpoints.at(Name), Now);
}

} // namespace

endpoint_set::endpoint_set(boost::asio::any_io_executor Executor,
                           base::zone_name Zone, link_factory Factory)
    : Executor(Executor), Zone(std::move(Zone)), Factory(std::move(Factory)),
      Watch(Executor) {}

directory_changes updateEndpoints(endpoint_set &Set,
                                  const std::vector<endpoint_entry> &Entries,
                                  base::instant Now) {
  directory_changes Changes = updateDirectory(Set.Directory, Entries, Now);
  for (const base::endpoint_name &Name : Changes.Gone)
    Set.Pools.erase(Name);
  for (const base::endpoint_name &Name : Changes.Started)
    replacePool(Set, Name, Now);
  for (const base::endpoint_name &Name : Changes.Changed)
    if (const pool_ptr Pool = findPool(Set, Name))
      Pool->setEntry(*findEndpoint(Set.Directory, Name));
  for (const auto &[Name, Pool] : Set.Pools)
    setColdUntil(Pool->cold(), Set.Directory.Endpoints.at(Name).ColdUntil, Now);
  return Changes;
}

pool_ptr poolOf(endpoint_set &Set, std::string_view Endpoint) {
  if (pool_ptr Pool = findPool(Set, Endpoint))
    return Pool;
  const auto Listed = Set.Directory.Endpoints.find(Endpoint);
  return Listed == Set.Directory.Endpoints.end()
             ? nullptr
             : openPool(Set, Listed->second, base::now());
}

pool_ptr findPool(const endpoint_set &Set, std::string_view Endpoint) {
  const auto Found = Set.Pools.find(Endpoint);
  return Found == Set.Pools.end() ? nullptr : Found->second;
}

void releaseUnusedPools(endpoint_set &Set, base::milliseconds Time,
                        base::instant Now) {
  std::erase_if(Set.Pools, [&](const auto &Item) {
    const pool_ptr &Pool = Item.second;
    return Pool.use_count() == 1 && Pool->isUnused(Time, Now);
  });
}

std::vector<choice_candidate>
readCandidates(endpoint_set &Set, std::string_view Service,
               std::string_view Customer, const primary_lease *PrimaryLease,
               const std::optional<required_point> &Required,
               base::instant Now) {
  std::vector<choice_candidate> Candidates;
  for (const endpoint_entry *Entry :
       workingEndpointsOf(Set.Directory, Service, Now)) {
    const pool_ptr Pool = poolOf(Set, Entry->Name);
    if (Pool == nullptr || Pool->isEvacuated())
      continue;
    const bool IsPrimary =
        PrimaryLease != nullptr && PrimaryLease->Endpoint == Entry->Name;
    choice_candidate &Candidate = Candidates.emplace_back(
        candidateOf(*Pool, Customer, Set.Zone, IsPrimary, Now));
    Candidate.ProbablyLags = !IsPrimary && Required &&
                             probablyLags(Pool->health().Lag, *Required, Now);
  }
  return rank(std::move(Candidates), Set.Choice, Now);
}

void notePoint(endpoint_set &Set, const primary_lease &PrimaryLease,
               base::instant SentAt, log_point Point) {
  addSample(Set.Samples[PrimaryLease.Service], {SentAt, Point}, base::now());
}

} // namespace redwinggw::session
