#include "platform_instance_state.hpp"

#include "platform/decoding.hpp"

#include "redwinggw/base/log.hpp"

/// The list of endpoints: read from the platform's store by one instance, and
/// sent to the others.
namespace redwinggw {
namespace {

using base::log_level;
using base::log_part;
using base::milliseconds;

/// One reading a second of each table: a leaving endpoint must be out of use
/// within seven seconds, and a new one should be in use at about the time at
/// which the old one leaves.
constexpr milliseconds EndpointReadInterval{1000};
/// A relayed list counts for so long; then this instance reads for itself.
constexpr milliseconds RelayedListValidFor{1700};
/// An unchanged list is sent in full so often: an instance that lost the
/// datagram with a change has read the store itself long before.
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
/// after a change, and now and then for those that missed it; otherwise that it
/// is unchanged. Whoever has another list ignores that, and reads for itself
/// when nothing else comes.
void shareEndpointList(platform_instance_state &State,
                       const platform::table_rows &Rows) {
  const base::instant Now = base::now();
  const bool Unchanged = State.SentEndpointList == State.EndpointList &&
                         State.SentEndpointListAt &&
                         Now - *State.SentEndpointListAt < FullListInterval;
  if (Unchanged) {
    State.Peers->sendReading({wire::reading_kind::EndpointsUnchanged, false,
                              digestText(State.EndpointList)});
    return;
  }
  const std::string Text = platform::writeReading(Rows);
  if (Text.size() > MaxSharedReadBytes) {
    base::logEvent(log_level::Warning, log_part::Endpoints, "list_not_relayed",
                   {{"bytes", std::to_string(Text.size())},
                    {"limit", std::to_string(MaxSharedReadBytes)}});
    return;
  }
  State.Peers->sendReading({wire::reading_kind::Endpoints, false, Text});
  State.SentEndpointList = State.EndpointList;
  State.SentEndpointListAt = Now;
}

void acceptEndpointList(platform_instance_state &State,
                        const std::vector<session::endpoint_entry> &Entries,
                        base::instant ReadAt) {
  const auto Changes = applyList(State.Endpoints, Entries, base::now());
  State.EndpointList = Entries;
  State.EndpointListAt = ReadAt;
  for (const base::endpoint_name &Name : Changes.Started)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " is listed.");
  for (const base::endpoint_name &Name : Changes.Gone)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " is gone.");
  divideConnections(State);
}

} // namespace

void acceptSharedRead(platform_instance_state &State,
                      const wire::store_reading &Reading) {
  if (Reading.Kind == wire::reading_kind::EndpointsUnchanged) {
    if (State.EndpointListAt && Reading.Text == digestText(State.EndpointList))
      acceptEndpointList(State, std::vector(State.EndpointList), base::now());
    return;
  }
  if (const auto Rows = platform::readReading(Reading.Text))
    acceptEndpointList(State, entriesOf(*Rows), base::now());
}

namespace {

void acceptOwnRead(platform_instance_state &State,
                   const platform::table_rows &Rows, base::instant Sent) {
  // A reading that took long must not undo a list that was relayed meanwhile.
  if (State.EndpointListAt.value_or(LongAgo) > Sent)
    return;
  acceptEndpointList(State, entriesOf(Rows), Sent);
  if (isStoreReader(State) && State.Peers)
    shareEndpointList(State, Rows);
}

} // namespace

base::task<void> followEndpoints(platform_instance_ptr State) {
  while (!State->Stopped) {
    const bool Relayed = base::now() - State->EndpointListAt.value_or(LongAgo) <
                         RelayedListValidFor;
    if (Relayed && hasStoreReader(*State)) {
      co_await pauseWithJitter(*State, UpdateCheckInterval);
      continue;
    }
    const base::instant Sent = base::now();
    const auto Rows = co_await platform::readTable(
        State->StoreReader, platform::EndpointTable, ReadIdleTimeout);
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
