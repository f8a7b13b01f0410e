#include "platform_holders.hpp"
#include "platform_claim.hpp"
#include "platform_heartbeats.hpp"
#include "platform_inquiries.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace redwinggw {
namespace {

namespace asio = boost::asio;
using base::milliseconds;
using session::endpoint_entry;
using session::holder_record;

/// Between two changes of the record of a service, or tries of one.
constexpr milliseconds UpdateInterval{500};
/// Between two inquiries at addresses where nobody has answered.
constexpr milliseconds CoveredInterval{2000};
/// How many inquiries in a row an endpoint leaves unanswered until it is taken
/// for gone: more than a short partition does.
constexpr unsigned SilentRoundsNeeded = 3;

std::vector<endpoint_entry> listedOf(const platform_instance_state &State,
                                     std::string_view Service) {
  std::vector<endpoint_entry> Listed;
  for (const endpoint_entry *Entry :
       endpointsOf(State.Endpoints.Directory, Service))
    Listed.push_back(*Entry);
  return Listed;
}

holder_record recordOf(const platform_instance_state &State,
                       const base::service_name &Service) {
  const auto Found = State.HolderRecords.find(Service);
  if (Found != State.HolderRecords.end())
    return Found->second;
  holder_record Record;
  Record.Service = Service;
  return Record;
}

/// Writes \p Record over the row that it was made from. \p Claim is what the
/// row of the service's claim has to be still.
base::task<void> writeRecord(platform_instance_state &State,
                             holder_record Record,
                             std::optional<storage::check> Claim) {
  storage::commit_request Request;
  Request.Checks.push_back(
      {session::holderKey(Record.Service), Record.Version});
  if (Claim)
    Request.Checks.push_back(*Claim);
  std::string Text = holderText(Record);
  Request.Puts.push_back({session::holderKey(Record.Service), Text});
  const auto Versions =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Versions) {
    State.FleetReadRequested = true;
    co_return;
  }
  Record.Version = Versions->front();
  base::logEvent(base::log_level::Info, base::log_part::Failover,
                 "holders_recorded",
                 {{"service", Record.Service}, {"holders", std::move(Text)}});
  const base::service_name Service = Record.Service;
  State.HolderRecords[Service] = std::move(Record);
}

/// Whether the primary answers, and enough of the \p Listed replicas have all
/// that it had then.
base::task<bool> listedHaveAll(platform_instance_state &State,
                               session::primary_claim Claim,
                               std::vector<endpoint_entry> Listed) {
  const auto Primary = co_await askOldPrimary(State, Claim);
  if (!Primary)
    co_return false;
  std::vector<session::endpoint_status> Replicas;
  for (const endpoint_entry &Entry : Listed) {
    if (Entry.Name == Claim.Primary ||
        isEvacuated(State.Evacuations, Entry.Zone))
      continue;
    const auto Status = co_await inquire(State, Claim, Entry);
    if (Status.Status)
      Replicas.push_back(*Status.Status);
  }
  const unsigned Synchronous = synchronousReplicas(State, Claim.Service);
  co_return Synchronous != 0 &&
      replicasHaveAll(*Primary, Replicas, Synchronous);
}

/// Counts the rounds in a row in which each unlisted holder of \p Record was
/// silent. The ones that are taken for gone.
std::vector<base::endpoint_name> countSilent(platform_instance_state &State,
                                             const holder_record &Record,
                                             const unlisted_answers &Answers) {
  auto &Rounds = State.SilentHolders[Record.Service];
  std::erase_if(Rounds, [&](const auto &Entry) {
    return !Answers.Silent.contains(Entry.first);
  });
  std::vector<base::endpoint_name> Gone;
  for (const base::endpoint_name &Name : Answers.Silent)
    if (++Rounds[Name] >= SilentRoundsNeeded &&
        !Record.Holders.at(Name).Covered)
      Gone.push_back(Name);
  return Gone;
}

/// Asks the holders of \p Record that are not \p Listed. One that answers may
/// acknowledge commits. Those that are silent are covered once the listed ones
/// are proven to have all acknowledged commits, if no move has begun meanwhile.
base::task<void> updateUnlisted(platform_instance_state &State,
                                holder_record Record,
                                std::vector<endpoint_entry> Listed) {
  session::primary_claim Claim;
  Claim.Service = Record.Service;
  Claim.Epoch = epochOf(State, Record.Service);
  const auto Answers = co_await askUnlisted(State, Claim, Record,
                                            unlistedHolders(Record, Listed));
  holder_record Next = Record;
  for (const base::endpoint_name &Name : Answers.Alive)
    Next.Holders.at(Name).Covered = false;
  const auto Gone = countSilent(State, Record, Answers);
  std::optional<storage::check> ClaimRow;
  const auto Lease = primaryLeaseFor(State, Record.Service);
  if (!Gone.empty() && Lease && Lease->Epoch == Claim.Epoch) {
    Claim.Primary = Lease->Endpoint;
    const bool Covered =
        co_await listedHaveAll(State, Claim, std::move(Listed));
    if (Covered) {
      ClaimRow = {session::claimKey(Record.Service), Claim.Epoch};
      Next = withCovered(std::move(Next), Gone);
    }
  }
  if (Next.Holders != Record.Holders)
    co_await writeRecord(State, std::move(Next), ClaimRow);
}

bool isAnyUncovered(const holder_record &Record,
                    const std::vector<base::endpoint_name> &Names) {
  return std::ranges::any_of(Names, [&](const base::endpoint_name &Name) {
    return !Record.Holders.at(Name).Covered;
  });
}

base::task<void> updateRecord(platform_instance_ptr State,
                              base::service_name Service) {
  const holder_record Record = recordOf(*State, Service);
  const auto Listed = listedOf(*State, Service);
  const base::endpoint_name Primary = primaryOf(*State, Service);
  holder_record Next = withListed(Record, Listed, Primary);
  const bool Settled = Next.Holders == Record.Holders &&
                       !isAnyUncovered(Record, unlistedHolders(Record, Listed));
  if (Next.Holders != Record.Holders)
    co_await writeRecord(*State, std::move(Next), std::nullopt);
  else
    co_await updateUnlisted(*State, Record, Listed);
  co_await pauseWithJitter(*State, Settled ? CoveredInterval : UpdateInterval);
  State->HolderUpdates.erase(Service);
}

bool needsUpdate(const platform_instance_state &State,
                 const base::service_name &Service) {
  const holder_record Record = recordOf(State, Service);
  const auto Listed = listedOf(State, Service);
  const base::endpoint_name Primary = primaryOf(State, Service);
  return withListed(Record, Listed, Primary).Holders != Record.Holders ||
         !unlistedHolders(Record, Listed).empty();
}

} // namespace

unsigned synchronousReplicas(const platform_instance_state &State,
                             const base::service_name &Service) {
  const auto Found = State.Routes->Services.find(Service);
  return Found == State.Routes->Services.end()
             ? 0
             : Found->second.SynchronousReplicas;
}

holder_record recordedHolders(const platform_instance_state &State,
                              const session::primary_claim &Claim) {
  return withListed(recordOf(State, Claim.Service),
                    listedOf(State, Claim.Service), Claim.Primary);
}

std::vector<base::endpoint_name>
holdersToAsk(const platform_instance_state &State,
             const holder_record &Record) {
  if (synchronousReplicas(State, Record.Service) == 0)
    return {};
  return unlistedHolders(Record, listedOf(State, Record.Service));
}

std::vector<session::log_holder>
holdersOf(const platform_instance_state &State,
          const session::primary_claim &Claim) {
  const holder_record Record = recordedHolders(State, Claim);
  auto Holders =
      logHolders(Record, listedOf(State, Claim.Service), Claim.Primary);
  for (session::log_holder &Holder : Holders) {
    const auto *Entry = findEndpoint(State.Endpoints.Directory, Holder.Name);
    Holder.Eligible = Holder.Eligible && Entry != nullptr &&
                      !isEvacuated(State.Evacuations, Entry->Zone);
  }
  return Holders;
}

base::endpoint_name recordedPrimary(const platform_instance_state &State,
                                    std::string_view Service) {
  const auto Found = State.HolderRecords.find(Service);
  if (Found == State.HolderRecords.end() || !State.Routes ||
      synchronousReplicas(State, Found->first) == 0)
    return {};
  return unlistedPrimary(Found->second, listedOf(State, Service));
}

void acceptHolderRow(platform_instance_state &State,
                     const platform::table_row &Row) {
  if (!Row.Key.starts_with(session::HolderPrefix))
    return;
  auto Record = session::readHolders(Row.Key, Row.Version, Row.Value);
  if (!Record)
    return;
  auto &Known = State.HolderRecords[Record->Service];
  if (Record->Version >= Known.Version)
    Known = std::move(*Record);
}

void maintainHolders(const platform_instance_ptr &State) {
  if (State->Draining || !State->EndpointListAt || !isStoreReader(*State))
    return;
  for (const auto &[Service, Limits] : State->Routes->Services) {
    if (Limits.SynchronousReplicas == 0 ||
        State->HolderUpdates.contains(Service) || !needsUpdate(*State, Service))
      continue;
    State->HolderUpdates.insert(Service);
    asio::co_spawn(State->Context, updateRecord(State, Service),
                   asio::detached);
  }
}

} // namespace redwinggw
