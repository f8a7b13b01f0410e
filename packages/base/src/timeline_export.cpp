#include "redwinggw/base/timeline.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace redwinggw::base {
namespace {

namespace json = boost::json;

void putUnlessEmpty(json::object &Object, std::string_view Key,
                    const std::string &Text) {
  if (!Text.empty())
    Object[Key] = Text;
}

json::object objectOf(const timeline_event &Event) {
  json::object Object;
  Object["wall_ms"] = Event.Time.Wall;
  Object["count"] = Event.Time.Count;
  Object["instance"] = Event.Instance;
  Object["kind"] = eventName(Event.Kind);
  putUnlessEmpty(Object, "request_id", Event.RequestId);
  putUnlessEmpty(Object, "subject", Event.Subject);
  putUnlessEmpty(Object, "detail", Event.Detail);
  return Object;
}

std::string textAt(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value ? json::value_to<std::string>(*Value) : std::string();
}

timeline_event eventOf(const json::value &Value) {
  const json::object &Object = Value.as_object();
  const auto Kind = eventNamed(textAt(Object, "kind"));
  if (!Kind)
    throw std::invalid_argument("unknown event kind");
  return {{Object.at("wall_ms").to_number<std::int64_t>(),
           Object.at("count").to_number<std::uint32_t>()},
          textAt(Object, "instance"),
          *Kind,
          textAt(Object, "request_id"),
          textAt(Object, "subject"),
          textAt(Object, "detail")};
}

/// Phase of an event in the Chrome trace format, where a request is an
/// asynchronous span.
std::string_view phaseOf(const timeline_event &Event) {
  if (Event.RequestId.empty())
    return "i";
  if (Event.Kind == event_kind::RequestReceived)
    return "b";
  return Event.Kind == event_kind::RequestAnswered ? "e" : "n";
}

json::object chromeEvent(const timeline_event &Event, std::size_t Process) {
  constexpr std::int64_t MicrosecondsAMillisecond = 1000;
  const std::string_view Phase = phaseOf(Event);
  json::object Object;
  // The viewer pairs the ends of a span by name, category and id.
  const bool Span = Phase == "b" || Phase == "e";
  Object["name"] = Span ? std::string_view("request") : eventName(Event.Kind);
  Object["cat"] = "redwinggw";
  Object["ph"] = Phase;
  Object["ts"] =
      Event.Time.Wall * MicrosecondsAMillisecond +
      std::min<std::int64_t>(Event.Time.Count, MicrosecondsAMillisecond - 1);
  Object["pid"] = Process;
  Object["tid"] = 0;
  if (Event.RequestId.empty())
    Object["s"] = "p";
  else
    Object["id"] = Event.RequestId;
  Object["args"] = {{"subject", Event.Subject}, {"detail", Event.Detail}};
  return Object;
}

json::object processName(const instance_name &Instance, std::size_t Process) {
  json::object Object;
  Object["name"] = "process_name";
  Object["ph"] = "M";
  Object["pid"] = Process;
  Object["args"] = {{"name", Instance}};
  return Object;
}

} // namespace

std::string toJson(const std::vector<timeline_event> &Events) {
  json::array Rows;
  std::ranges::transform(Events, std::back_inserter(Rows), objectOf);
  json::object Object;
  Object["events"] = std::move(Rows);
  return json::serialize(Object);
}

result<std::vector<timeline_event>> eventsFromJson(std::string_view Text) {
  std::vector<timeline_event> Events;
  try {
    const json::value Value = json::parse(Text);
    std::ranges::transform(Value.at("events").as_array(),
                           std::back_inserter(Events), eventOf);
  } catch (const std::exception &Error) {
    return failure(errc::BadMessage, std::string("timeline: ") + Error.what());
  }
  return Events;
}

std::string toChromeTrace(const std::vector<timeline_event> &Events) {
  std::map<instance_name, std::size_t> Processes;
  json::array Rows;
  for (const timeline_event &Event : Events) {
    const auto [Entry, Added] =
        Processes.try_emplace(Event.Instance, Processes.size() + 1);
    if (Added)
      Rows.push_back(processName(Event.Instance, Entry->second));
    Rows.push_back(chromeEvent(Event, Entry->second));
  }
  json::object Object;
  Object["traceEvents"] = std::move(Rows);
  return json::serialize(Object);
}

} // namespace redwinggw::base
