#include "platform_endpoints.hpp"
#include "platform_connections.hpp"
#include "platform_heartbeats.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_relayed_state.hpp"

#include "platform/decoding.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/endpoint_list.hpp"
#include "redwinggw/session/list_changes.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>
#include <utility>

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

/// Logs a row that is no valid entry, once for each of its versions.
void logRefused(platform_instance_state &State, const platform::table_row &Row,
                const base::failure &Why) {
  constexpr std::size_t MaxRemembered = 1000;
  if (State.RefusedEntries.size() >= MaxRemembered)
    State.RefusedEntries.clear();
  if (std::exchange(State.RefusedEntries[Row.Key], Row.Version) == Row.Version)
    return;
  base::logEvent(log_level::Warning, log_part::Endpoints, "entry_refused",
                 {{"endpoint", Row.Key}, {"reason", Why.Detail}});
}

std::vector<session::endpoint_entry>
entriesOf(platform_instance_state &State, const platform::table_rows &Rows) {
  std::vector<session::endpoint_entry> Entries;
  for (const platform::table_row &Row : Rows.Rows) {
    auto Entry = platform::readEntry(Row.Key, Row.Value);
    if (Entry)
      Entries.push_back(std::move(*Entry));
    else
      logRefused(State, Row, Entry.error());
  }
  return Entries;
}

bool isRecent(const platform_instance_state &State) {
  return base::now() - State.EndpointListAt.value_or(LongAgo) <
         SharedListValidFor;
}

std::string digestText(const std::vector<session::endpoint_entry> &List) {
  return std::to_string(digestOf(List));
}

/// The parts of the list in full; none when an entry exceeds a datagram.
std::vector<wire::shared_store_read>
fullList(const platform_instance_state &State, std::uint64_t Version) {
  const auto Parts = encodeEndpoints(State.EndpointList, MaxSharedReadBytes);
  const auto Largest = std::ranges::max(Parts, {}, &std::string::size).size();
  if (Largest > MaxSharedReadBytes) {
    base::logEvent(log_level::Warning, log_part::Endpoints, "list_not_relayed",
                   {{"bytes", std::to_string(Largest)},
                    {"limit", std::to_string(MaxSharedReadBytes)}});
    return {};
  }
  std::vector<wire::shared_store_read> Reads(Parts.size());
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    Reads[Part].Version = Version;
    Reads[Part].Part = static_cast<std::uint16_t>(Part);
    Reads[Part].Parts = static_cast<std::uint16_t>(Parts.size());
    Reads[Part].Text = Parts[Part];
  }
  return Reads;
}

void shareUnchanged(platform_instance_state &State) {
  wire::shared_store_read Digest;
  Digest.Kind = wire::shared_read_kind::EndpointsUnchanged;
  Digest.Text = State.EndpointListDigest;
  State.Peers->sendSharedRead(Digest);
}

/// Tells the instances that this one relays for which list it has read, since
/// the store reader tells them nothing.
void confirmForZone(platform_instance_state &State) {
  wire::shared_store_read Digest;
  Digest.Kind = wire::shared_read_kind::EndpointsUnchanged;
  Digest.Text = State.EndpointListDigest;
  State.Peers->relaySharedRead(Digest);
}

/// Sends the list in full after a change and every FullListInterval, otherwise
/// a digest that tells that it is unchanged. An instance with another list
/// ignores the digest, and reads the store itself when nothing else arrives.
void shareWholeList(platform_instance_state &State, std::uint64_t Version) {
  const base::instant Now = base::now();
  const bool Unchanged = State.SentEndpointList == State.EndpointList &&
                         State.SentEndpointListAt &&
                         Now - *State.SentEndpointListAt <
                             FullListInterval * State.SentEndpointListParts;
  if (Unchanged) {
    shareUnchanged(State);
    return;
  }
  const auto Reads = fullList(State, Version);
  if (Reads.empty())
    return;
  for (const wire::shared_store_read &Read : Reads)
    State.Peers->sendSharedRead(Read);
  State.SentEndpointList = State.EndpointList;
  State.SentEndpointListAt = Now;
  State.SentEndpointListParts = static_cast<std::int64_t>(Reads.size());
}

/// Sends the list to the instances that do not read it themselves. In a fleet
/// with relays, as changes to \p Before, the list that they have. An instance
/// that lacks them sees that by the next digest, and fetches the list in full
/// from a relay.
///
/// \p Version: the store's version at the read of the list.
void shareEndpointList(platform_instance_state &State,
                       const std::vector<session::endpoint_entry> &Before,
                       std::uint64_t Version) {
  if (Before.empty() || !usesRelays(State.Peers->view())) {
    shareWholeList(State, Version);
    return;
  }
  if (Before == State.EndpointList) {
    shareUnchanged(State);
    return;
  }
  for (std::string &Text : session::encodeChangesInParts(
           Before, State.EndpointList, MaxSharedReadBytes)) {
    wire::shared_store_read Changes;
    Changes.Kind = wire::shared_read_kind::EndpointChanges;
    Changes.Version = Version;
    Changes.Text = std::move(Text);
    State.Peers->sendSharedRead(Changes);
  }
}

/// One line for each endpoint, or one for all: a list of thousands arrives at
/// once, and each line is a system call.
void logNames(const std::vector<base::endpoint_name> &Names,
              const std::string &Event) {
  constexpr std::size_t MaxLines = 10;
  if (Names.size() > MaxLines) {
    base::log(log_level::Info, log_part::Endpoints,
              std::to_string(Names.size()) + " endpoints were " + Event + ".");
    return;
  }
  for (const base::endpoint_name &Name : Names)
    base::log(log_level::Info, log_part::Endpoints,
              std::string("Endpoint ")
                  .append(Name)
                  .append(" was ")
                  .append(Event)
                  .append("."));
}

void acceptEndpointList(platform_instance_state &State,
                        const std::vector<session::endpoint_entry> &Entries,
                        base::instant ReadAt) {
  const auto Changes = updateEndpoints(State.Endpoints, Entries, base::now());
  State.EndpointList = Entries;
  State.EndpointListDigest = digestText(Entries);
  State.RequestedEndpointList.clear();
  State.EndpointListAt = ReadAt;
  const bool Changed = !Changes.Started.empty() || !Changes.Gone.empty() ||
                       !Changes.Changed.empty();
  State.ConnectionsStale = State.ConnectionsStale || Changed;
  logNames(Changes.Started, "added to the list");
  logNames(Changes.Gone, "removed from the list");
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

namespace {

/// Records that the list with \p Digest has to be fetched.
void wantList(platform_instance_state &State, const std::string &Digest) {
  if (!usesRelays(State.Peers->view()))
    return;
  // Parts of another list may have a higher version.
  if (State.RequestedEndpointList != Digest)
    State.EndpointListParts = {};
  State.RequestedEndpointList = Digest;
}

/// Answers the request of a build that asks by datagram for the list with
/// \p Digest, if this instance has it.
void answerRequest(platform_instance_state &State,
                   const base::instance_name &From, std::string_view Digest) {
  if (!State.EndpointListAt || Digest != State.EndpointListDigest)
    return;
  for (wire::shared_store_read &Read :
       fullList(State, State.EndpointListVersion))
    State.Peers->sendSharedReadTo(From, std::move(Read));
}

void acceptDigest(platform_instance_state &State, const std::string &Digest) {
  if (!State.EndpointListAt)
    return;
  if (Digest != State.EndpointListDigest) {
    wantList(State, Digest);
    return;
  }
  State.RequestedEndpointList.clear();
  confirmEndpointList(State);
}

void acceptChanges(platform_instance_state &State,
                   const wire::shared_store_read &Reading) {
  // The changes of a slower store reader must not undo a newer list.
  if (!State.EndpointListAt || Reading.Version < State.EndpointListVersion)
    return;
  std::vector<session::endpoint_entry> List = State.EndpointList;
  switch (session::applyChanges(List, Reading.Text)) {
  case session::change_result::Applied:
    State.EndpointListVersion = Reading.Version;
    acceptEndpointList(State, List, base::now());
    return;
  case session::change_result::Known:
    State.EndpointListVersion = Reading.Version;
    confirmEndpointList(State);
    return;
  case session::change_result::Unusable:
    // The next digest differs from the list here, which is then requested.
    return;
  }
}

void acceptPart(platform_instance_state &State,
                const wire::shared_store_read &Reading) {
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
  // An answer to a request must not undo changes that overtook it.
  if (usesRelays(State.Peers->view()) &&
      !session::replacesHeld({Reading.Version, digestText(Entries)},
                             State.EndpointListVersion,
                             State.RequestedEndpointList))
    return;
  State.EndpointListVersion = Reading.Version;
  acceptEndpointList(State, Entries, base::now());
}

} // namespace

void acceptSharedRead(platform_instance_state &State,
                      const base::instance_name &From,
                      const wire::shared_store_read &Reading) {
  switch (Reading.Kind) {
  case wire::shared_read_kind::Endpoints:
    acceptPart(State, Reading);
    return;
  case wire::shared_read_kind::EndpointsUnchanged:
    acceptDigest(State, Reading.Text);
    return;
  case wire::shared_read_kind::EndpointChanges:
    acceptChanges(State, Reading);
    return;
  case wire::shared_read_kind::EndpointsRequest:
    answerRequest(State, From, Reading.Text);
    return;
  }
}

namespace {

void acceptOwnRead(platform_instance_state &State,
                   const platform::table_rows &Rows, base::instant Sent) {
  // A slow read must not undo a newer list that arrived meanwhile.
  if (State.EndpointListAt.value_or(LongAgo) > Sent)
    return;
  const std::vector<session::endpoint_entry> Before = State.EndpointList;
  State.EndpointListVersion = Rows.Version;
  auto Entries = entriesOf(State, Rows);
  if (coldLimits(State.Settings))
    keepColdTimes(State.Endpoints.Directory, Entries, base::now());
  else
    for (session::endpoint_entry &Entry : Entries)
      Entry.ColdRemaining = milliseconds(0);
  acceptEndpointList(State, Entries, Sent);
  if (!State.Peers)
    return;
  if (isStoreReader(State))
    shareEndpointList(State, Before, Rows.Version);
  else if (usesRelays(State.Peers->view()) && State.Peers->view().Relay)
    confirmForZone(State);
}

} // namespace

session::transferred_state endpointsHeld(platform_instance_state &State) {
  if (!isRecent(State))
    return {};
  encoded_state &Encoded = State.EncodedEndpoints;
  if (Encoded.Source != State.EndpointListDigest) {
    auto Texts = encodeEndpoints(State.EndpointList,
                                 std::numeric_limits<std::size_t>::max());
    Encoded.Source = State.EndpointListDigest;
    Encoded.State.Text =
        std::make_shared<const std::string>(std::move(Texts.front()));
  }
  Encoded.State.Version = State.EndpointListVersion;
  return Encoded.State;
}

namespace {

/// Takes the list that a relay has, if that has a newer one.
base::task<void> fetchEndpoints(platform_instance_state &State) {
  const std::uint64_t Held =
      State.EndpointListAt ? State.EndpointListVersion : 0;
  const auto Fetched =
      co_await fetchFromRelays(State, session::state_kind::Endpoints, Held);
  if (Fetched.Version <= Held || !Fetched.Text)
    co_return;
  const auto Entries = session::decodeEndpoints(*Fetched.Text);
  if (!Entries) {
    base::logEvent(log_level::Warning, log_part::Endpoints, "list_not_decoded",
                   {{"version", std::to_string(Fetched.Version)},
                    {"bytes", std::to_string(Fetched.Text->size())}});
    co_return;
  }
  State.EndpointListVersion = Fetched.Version;
  acceptEndpointList(State, *Entries, base::now());
}

} // namespace

base::task<void> followEndpoints(platform_instance_ptr State) {
  control::state_need Need;
  while (!State->Stopped) {
    const bool Recent =
        isRecent(*State) && State->RequestedEndpointList.empty();
    if (Recent && hasStoreReader(*State)) {
      noteSupplied(Need);
      co_await pauseWithJitter(*State, UpdateCheckInterval);
      continue;
    }
    if (shouldAskRelays(*State, Need)) {
      co_await fetchEndpoints(*State);
      continue;
    }
    const bool InTurn =
        co_await awaitStoreAttempt(*State, control::store_loop::Endpoints);
    if (!InTurn)
      continue;
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
