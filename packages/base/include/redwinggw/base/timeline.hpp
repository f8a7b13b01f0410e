#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/hybrid_clock.hpp"
#include "redwinggw/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The timeline: the recent events of one instance in a bounded buffer, and the
/// timelines of several instances merged in causal order. Events hold names and
/// numbers only, never a key, statement text or parameter.
namespace redwinggw::base {

enum class event_kind {
  RequestReceived,
  RequestAdmitted,
  RequestRefused,
  RequestQueued,
  RequestRouted,
  RequestSent,     ///< Sent to an endpoint.
  RequestAnswered, ///< The answer went to the caller.
  WriteConfirmed,  ///< Enough replicas have the write.
  OutcomeUnknown,
  TransactionBegun,
  TransactionEnded,
  SessionCovered, ///< Whether a replica covers a session token was checked.
  EndpointConnected,
  EndpointClosed,
  EndpointLeaving,
  FailoverSuspected,
  FailoverClaimed, ///< The store accepted this instance's failover order.
  FailoverSealed,
  FailoverPromoted,
  FailoverFollowed,
  FailoverEnded,
  FailoverGivenUp,
  ConfigurationAccepted,
  ConfigurationInForce,
  ConfigurationStale,
  LeaseTaken,
  LeaseLost,
  ShareGiven,
  ShareTaken,
  ShareReturned,
  MemberJoined,
  MemberSuspected,
  MemberLeft,
  StoreOutage,
  StoreBack,
  InstanceStarted,
  DrainStarted,
  DrainStep,
  DrainEnded,
};

/// The name of \p Kind, such as "failover_sealed". Thread safe.
std::string_view eventName(event_kind Kind);

/// The kind called \p Name, nothing when there is none. Thread safe.
std::optional<event_kind> eventNamed(std::string_view Name);

struct timeline_event {
  hybrid_time Time;
  instance_name Instance;
  event_kind Kind = event_kind::InstanceStarted;
  /// The caller's request id; empty when the event belongs to no request.
  std::string RequestId;
  /// What the event concerns: a customer, group, endpoint, instance or version.
  std::string Subject;
  std::string Detail;

  friend bool operator==(const timeline_event &,
                         const timeline_event &) = default;
};

/// The most recent events of one instance. Not thread safe.
struct timeline {
  explicit timeline(instance_name Instance, std::size_t Capacity = 4096)
      : Instance(std::move(Instance)), Capacity(Capacity) {}

  instance_name Instance;
  /// Maximum number of events; the oldest are overwritten first.
  std::size_t Capacity;
  hybrid_clock Clock;
  /// Ring buffer: event number N is stored at N % Capacity.
  std::vector<timeline_event> Ring;
  /// Number of events recorded so far.
  std::uint64_t Recorded = 0;
};

/// Adds \p Event unchanged, except that texts over 64 bytes are truncated.
void record(timeline &Line, timeline_event Event);

/// Adds an event of this instance at the clock's next time.
/// \p WallMs is base::wallMilliseconds() as read by the caller.
void record(timeline &Line, std::int64_t WallMs, event_kind Kind,
            std::string_view Subject, std::string_view Detail = {},
            std::string_view RequestId = {});

/// The events still in the buffer, starting at number \p From, oldest first.
std::vector<timeline_event> eventsOf(const timeline &Line,
                                     std::uint64_t From = 0);

/// Merges the events of several instances in causal order: no effect precedes
/// its cause, provided that the messages between them carried hybrid times.
std::vector<timeline_event>
mergeTimelines(std::vector<std::vector<timeline_event>> Lines);

/// JSON: {"events":[{"wall_ms","count","instance","kind","request_id",
/// "subject","detail"}]}, empty texts left out.
std::string toJson(const std::vector<timeline_event> &Events);

/// Reads what toJson wrote. Fails with errc::BadMessage.
result<std::vector<timeline_event>> eventsFromJson(std::string_view Text);

/// Exports to the Chrome trace format (chrome://tracing, Perfetto): one process
/// per instance, one span per request, one instant event for each other event.
std::string toChromeTrace(const std::vector<timeline_event> &Events);

} // namespace redwinggw::base
