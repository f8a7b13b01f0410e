#include "redwinggw/base/timeline.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw::base;

Test(timeline, the_oldest_events_go_when_the_buffer_is_full) {
  timeline Line("a", 3);
  for (int Number = 0; Number < 5; ++Number)
    record(Line, 1000 + Number, event_kind::RequestReceived, "orders",
           std::to_string(Number));
  const auto Events = eventsOf(Line);
  cr_assert(Events.size() == 3);
  cr_assert(Events.front().Detail == "2");
  cr_assert(Events.back().Detail == "4");
  cr_assert(eventsOf(Line, 4).size() == 1);
  cr_assert(eventsOf(Line, 9).empty());
}

// Guards against an effect sorted before its cause: the wall clock of instance
// b is 300 ms behind, so by wall clock b would receive a share before a sends
// it.
Test(timeline, merged_lines_hold_a_cause_before_its_effect) {
  timeline Sender("a");
  timeline Receiver("b");
  record(Sender, 1000, event_kind::ShareGiven, "c1");
  const hybrid_time Sent = tick(Sender.Clock, 1000);
  merge(Receiver.Clock, Sent, 700);
  record(Receiver, 700, event_kind::ShareTaken, "c1");
  const auto Merged = mergeTimelines({eventsOf(Receiver), eventsOf(Sender)});
  cr_assert(Merged.front().Kind == event_kind::ShareGiven);
  cr_assert(Merged.back().Kind == event_kind::ShareTaken);
}

Test(timeline, json_read_back_is_the_same_events) {
  timeline Line("a");
  record(Line, 1000, event_kind::RequestReceived, "orders", "", "id\"1");
  record(Line, 1000, event_kind::FailoverSealed, "orders-2", "term 4");
  const auto Back = eventsFromJson(toJson(eventsOf(Line)));
  cr_assert(Back.has_value());
  cr_assert(*Back == eventsOf(Line));
}

Test(timeline, text_that_is_not_a_time_line_is_a_bad_message) {
  for (const char *Text : {"", "{}", R"({"events":[{"kind":"x"}]})",
                           R"({"events":[{"kind":"lease_lost"}]})"}) {
    const auto Back = eventsFromJson(Text);
    cr_assert(Back.has_error());
    cr_assert(kindOf(Back.error()) == errc::BadMessage);
  }
}

Test(timeline, a_chrome_trace_has_a_span_a_request_and_a_process_an_instance) {
  timeline Line("a");
  record(Line, 1000, event_kind::RequestReceived, "orders", "", "id1");
  record(Line, 1002, event_kind::RequestAnswered, "orders", "", "id1");
  const auto Trace = boost::json::parse(toChromeTrace(eventsOf(Line)));
  const auto &Rows = Trace.at("traceEvents").as_array();
  cr_assert(Rows.size() == 3);
  cr_assert(Rows[0].at("args").at("name") == "a");
  cr_assert(Rows[1].at("ph") == "b");
  cr_assert(Rows[2].at("ph") == "e");
  cr_assert(Rows[1].at("name") == Rows[2].at("name"));
}

Test(timeline, each_kind_has_a_name_that_reads_back) {
  for (int Value = 0; Value <= static_cast<int>(event_kind::DrainEnded);
       ++Value) {
    const auto Kind = static_cast<event_kind>(Value);
    cr_assert(eventNamed(eventName(Kind)) == Kind);
  }
}
