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
constexpr milliseconds ReadEvery{1000};
/// A relayed list counts for so long; then this instance reads for itself.
constexpr milliseconds RelayCounts{1700};
/// An unchanged list is sent in full so often: an instance that lost the
/// datagram with a change has read the store itself long before.
constexpr milliseconds RelayAgain{5000};

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
void relayList(platform_instance_state &State,
               const platform::table_rows &Rows) {
  const base::instant Now = base::now();
  const bool Unchanged = State.SentList == State.List && State.SentListAt &&
                         Now - *State.SentListAt < RelayAgain;
  if (Unchanged) {
    State.Peers->sendReading({wire::reading_kind::EndpointsUnchanged, false,
                              digestText(State.List)});
    return;
  }
  const std::string Text = platform::writeReading(Rows);
  if (Text.size() > LongestReading) {
    base::logEvent(log_level::Warning, log_part::Endpoints, "list_not_relayed",
                   {{"bytes", std::to_string(Text.size())},
                    {"limit", std::to_string(LongestReading)}});
    return;
  }
  State.Peers->sendReading({wire::reading_kind::Endpoints, false, Text});
  State.SentList = State.List;
  State.SentListAt = Now;
}

void takeEndpoints(platform_instance_state &State,
                   const std::vector<session::endpoint_entry> &Entries,
                   base::instant ReadAt) {
  const auto Changes = applyList(State.Endpoints, Entries, base::now());
  State.List = Entries;
  State.ListAt = ReadAt;
  for (const base::endpoint_name &Name : Changes.Started)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " is listed.");
  for (const base::endpoint_name &Name : Changes.Gone)
    base::log(log_level::Info, log_part::Endpoints,
              "Endpoint " + Name + " is gone.");
  divideConnections(State);
}

} // namespace

void takeReading(platform_instance_state &State,
                 const wire::store_reading &Reading) {
  if (Reading.Kind == wire::reading_kind::EndpointsUnchanged) {
    if (State.ListAt && Reading.Text == digestText(State.List))
      takeEndpoints(State, std::vector(State.List), base::now());
    return;
  }
  if (const auto Rows = platform::readReading(Reading.Text))
    takeEndpoints(State, entriesOf(*Rows), base::now());
}

namespace {

void takeOwnReading(platform_instance_state &State,
                    const platform::table_rows &Rows, base::instant Sent) {
  // A reading that took long must not undo a list that was relayed meanwhile.
  if (State.ListAt.value_or(LongAgo) > Sent)
    return;
  takeEndpoints(State, entriesOf(Rows), Sent);
  if (isReader(State) && State.Peers)
    relayList(State, Rows);
}

} // namespace

base::task<void> followEndpoints(platform_instance_ptr State) {
  while (!State->Stopped) {
    const bool Relayed =
        base::now() - State->ListAt.value_or(LongAgo) < RelayCounts;
    if (Relayed && hasReader(*State)) {
      co_await pauseAbout(*State, NewsEvery);
      continue;
    }
    const base::instant Sent = base::now();
    const auto Rows = co_await platform::readTable(
        State->Reader, platform::EndpointTable, ReadSilence);
    ++State->Store.Reads;
    noteStore(*State, Rows.has_value(), Rows ? "" : describe(Rows.error()));
    if (Rows) {
      if (State->Peers)
        State->Peers->noteStoreContact();
      takeOwnReading(*State, *Rows, Sent);
    }
    co_await pauseAbout(*State, Rows ? ReadEvery : RetryAfter);
  }
}

} // namespace redwinggw
