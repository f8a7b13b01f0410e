#include "redwinggw/base/timeline.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <tuple>

namespace redwinggw::base {
namespace {

using enum event_kind;

constexpr std::size_t MaxTextBytes = 64;

constexpr std::array EventNames = std::to_array<enum_name<event_kind>>({
    {RequestReceived, "request_received"},
    {RequestAdmitted, "request_admitted"},
    {RequestRefused, "request_refused"},
    {RequestQueued, "request_queued"},
    {RequestRouted, "request_routed"},
    {RequestSent, "request_sent"},
    {RequestAnswered, "request_answered"},
    {WriteConfirmed, "write_confirmed"},
    {OutcomeUnknown, "outcome_unknown"},
    {TransactionBegun, "transaction_begun"},
    {TransactionEnded, "transaction_ended"},
    {SessionCovered, "session_covered"},
    {EndpointConnected, "endpoint_connected"},
    {EndpointClosed, "endpoint_closed"},
    {EndpointLeaving, "endpoint_leaving"},
    {FailoverSuspected, "failover_suspected"},
    {FailoverClaimed, "failover_claimed"},
    {FailoverSealed, "failover_sealed"},
    {FailoverPromoted, "failover_promoted"},
    {FailoverFollowed, "failover_followed"},
    {FailoverEnded, "failover_ended"},
    {FailoverGivenUp, "failover_given_up"},
    {ConfigurationAccepted, "configuration_accepted"},
    {ConfigurationInForce, "configuration_in_force"},
    {ConfigurationStale, "configuration_stale"},
    {LeaseTaken, "lease_taken"},
    {LeaseLost, "lease_lost"},
    {ShareGiven, "share_given"},
    {ShareTaken, "share_taken"},
    {ShareReturned, "share_returned"},
    {MemberJoined, "member_joined"},
    {MemberSuspected, "member_suspected"},
    {MemberLeft, "member_left"},
    {StoreOutage, "store_outage"},
    {StoreBack, "store_back"},
    {InstanceStarted, "instance_started"},
    {DrainStarted, "drain_started"},
    {DrainStep, "drain_step"},
    {DrainEnded, "drain_ended"},
});

void truncateText(std::string &Text) {
  if (Text.size() > MaxTextBytes)
    Text.resize(MaxTextBytes);
}

} // namespace

std::string_view eventName(event_kind Kind) { return nameOf(EventNames, Kind); }

std::optional<event_kind> eventNamed(std::string_view Name) {
  return valueOf(EventNames, Name);
}

void record(timeline &Line, timeline_event Event) {
  truncateText(Event.RequestId);
  truncateText(Event.Subject);
  truncateText(Event.Detail);
  const std::size_t Index = Line.Recorded % Line.Capacity;
  ++Line.Recorded;
  if (Index < Line.Ring.size())
    Line.Ring[Index] = std::move(Event);
  else
    Line.Ring.push_back(std::move(Event));
}

void record(timeline &Line, std::int64_t WallMs, event_kind Kind,
            std::string_view Subject, std::string_view Detail,
            std::string_view RequestId) {
  record(Line,
         {tick(Line.Clock, WallMs), Line.Instance, Kind, std::string(RequestId),
          std::string(Subject), std::string(Detail)});
}

std::vector<timeline_event> eventsOf(const timeline &Line, std::uint64_t From) {
  const std::uint64_t Oldest = Line.Recorded - Line.Ring.size();
  const auto Numbers = std::views::iota(
      std::min(std::max(From, Oldest), Line.Recorded), Line.Recorded);
  std::vector<timeline_event> Events;
  std::ranges::transform(Numbers, std::back_inserter(Events),
                         [&Line](std::uint64_t Number) {
                           return Line.Ring[Number % Line.Capacity];
                         });
  return Events;
}

std::vector<timeline_event>
mergeTimelines(std::vector<std::vector<timeline_event>> Lines) {
  std::vector<timeline_event> Events;
  for (std::vector<timeline_event> &Line : Lines)
    std::ranges::move(Line, std::back_inserter(Events));
  std::ranges::stable_sort(Events, [](const auto &Left, const auto &Right) {
    return std::tie(Left.Time, Left.Instance) <
           std::tie(Right.Time, Right.Instance);
  });
  return Events;
}

} // namespace redwinggw::base
