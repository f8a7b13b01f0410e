#include "platform_instance_state.hpp"

#include "platform/decoding.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/session/endpoint_list.hpp"

#include <algorithm>
#include <iterator>

/// The endpoint list: the store reader reads it from the platform's store and
/// sends it to the other instances.
namespace redwinggw {
namespace {

using base::log_level;
using base::log_part;
using base::milliseconds;

/// Each table is read once a second: a leaving endpoint must be out of use
/// within seven seconds, and a new one should be in use at about the time at
/// which the old one leaves.
constexpr milliseconds EndpointReadInterval{1000};
/// How long a list from the store reader is used before this instance reads the
/// store itself.
constexpr milliseconds SharedListValidFor{1700};
/// How often an unchanged list is sent in full, for each part that it is sent
/// in. An instance that lost a datagram with a change reads the store itself
/// long before that.
constexpr milliseconds FullListInterval{5000};

std::vector<session::endpoint_entry>
entriesOf(const platform::table_rows &Rows) {
  std::vector<session::endpoint_entry> Entries;
  for (const platform::table_row &Row : Rows.Rows)
    if (auto Entry = platform::readEntry(Row.Key, Row.Value))
      Entries.push_back(std::move(*Entry));
  return Entries;
}

std::string digestText(const std::vector<session::endpoint_entry> &List) {
  return std::to_string(digestOf(List));
}

/// Sends the list to the instances that do not read it themselves: in full
/// after a change and every FullListInterval, otherwise a digest that tells
/// that it is unchanged. An instance with another list ignores the digest, and
/// reads the store itself when nothing else arrives.
///
/// \p Version: the store's version at the read of the list.
void shareEndpointList(platform_instance_state &State, std::uint64_t Version) {
  const base::instant Now = base::now();
  const bool Unchanged = State.SentEndpointList == State.EndpointList &&
                         State.SentEndpointListAt &&
                         Now - *State.SentEndpointListAt <
                             FullListInterval * State.SentEndpointListParts;
  if (Unchanged) {
    wire::shared_store_read Digest;
    Digest.Kind = wire::shared_read_kind::EndpointsUnchanged;
    Digest.Text = State.EndpointListDigest;
    State.Peers->sendSharedRead(Digest);
    return;
  }
  const auto Parts = encodeEndpoints(State.EndpointList, MaxSharedReadBytes);
  const auto Largest = std::ranges::max(Parts, {}, &std::string::size).size();
  if (Largest > MaxSharedReadBytes) {
    base::logEvent(log_level::Warning, log_part::Endpoints, "list_not_relayed",
                   {{"bytes", std::to_string(Largest)},
                    {"limit", std::to_string(MaxSharedReadBytes)}});
    return;
  }
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    wire::shared_store_read Read;
    Read.Kind = wire::shared_read_kind::Endpoints;
    Read.Version = Version;
    Read.Part = static_cast<std::uint16_t>(Part);
    Read.Parts = static_cast<std::uint16_t>(Parts.size());
    Read.Text = Parts[Part];
    State.Peers->sendSharedRead(Read);
  }
  State.SentEndpointList = State.EndpointList;
  State.SentEndpointListAt = Now;
  State.SentEndpointListParts = static_cast<std::int64_t>(Parts.size());
}

void acceptEndpointList(platform_instance_state &State,
                        const std::vector<session::endpoint_entry> &Entries,
                        base::instant ReadAt) {
  const auto Changes = updateEndpoints(State.Endpoints, Entries, base::now());
  State.EndpointList = Entries;
  State.EndpointListDigest = digestText(Entries);
  State.EndpointListAt = ReadAt;
  const bool Changed = !Changes.Started.empty() || !Changes.Gone.empty() ||
                       !Changes.Changed.empty();
  State.ConnectionsStale = State.ConnectionsStale || Changed;
  for (const base::endpoint_name &Name : Changes.Started)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " was added to the list.");
  for (const base::endpoint_name &Name : Changes.Gone)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " was removed from the list.");
  divideConnections(State);
}

/// Records that the list is still the newest one.
void confirmEndpointList(platform_instance_state &State) {
  const base::instant Now = base::now();
  // Endpoints that were missing after an outage may have to go now.
  if (!confirmDirectory(State.Endpoints.Directory, State.EndpointList, Now)) {
    acceptEndpointList(State, std::vector(State.EndpointList), Now);
    return;
  }
  State.EndpointListAt = Now;
}

} // namespace

void acceptSharedRead(platform_instance_state &State,
                      const wire::shared_store_read &Reading) {
  if (Reading.Kind == wire::shared_read_kind::EndpointsUnchanged) {
    if (State.EndpointListAt && Reading.Text == State.EndpointListDigest)
      confirmEndpointList(State);
    return;
  }
  const auto Texts =
      addPart(State.EndpointListParts,
              {Reading.Version, Reading.Part, Reading.Parts, Reading.Text});
  if (!Texts)
    return;
  std::vector<session::endpoint_entry> Entries;
  for (const std::string &Text : *Texts) {
    auto Decoded = session::decodeEndpoints(Text);
    if (!Decoded) {
      base::logEvent(log_level::Warning, log_part::Endpoints,
                     "list_not_decoded",
                     {{"version", std::to_string(Reading.Version)},
                      {"bytes", std::to_string(Text.size())}});
      return;
    }
    std::ranges::move(*Decoded, std::back_inserter(Entries));
  }
  acceptEndpointList(State, Entries, base::now());
}

namespace {

void acceptOwnRead(platform_instance_state &State,
                   const platform::table_rows &Rows, base::instant Sent) {
  // A slow read must not undo a newer list that arrived meanwhile.
  if (State.EndpointListAt.value_or(LongAgo) > Sent)
    return;
  acceptEndpointList(State, entriesOf(Rows), Sent);
  if (isStoreReader(State) && State.Peers)
    shareEndpointList(State, Rows.Version);
}

} // namespace

base::task<void> followEndpoints(platform_instance_ptr State) {
  while (!State->Stopped) {
    const bool Recent = base::now() - State->EndpointListAt.value_or(LongAgo) <
                        SharedListValidFor;
    if (Recent && hasStoreReader(*State)) {
      co_await pauseWithJitter(*State, UpdateCheckInterval);
      continue;
    }
    co_await awaitStoreAttempt(*State);
    const base::instant Sent = base::now();
    const auto Rows = co_await platform::readTable(
        State->StoreTables, platform::EndpointTable, ReadIdleTimeout);
    ++State->Store.Reads;
    noteStoreResult(*State, Rows.has_value(),
                    Rows ? "" : describe(Rows.error()));
    if (Rows) {
      if (State->Peers)
        State->Peers->noteStoreContact();
      acceptOwnRead(*State, *Rows, Sent);
    }
    co_await pauseWithJitter(*State, Rows ? EndpointReadInterval : RetryDelay);
  }
}

} // namespace redwinggw
