#include "commands.hpp"
#include "tool_tables.hpp"

#include "redwinggw/base/timeline.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <ostream>

namespace redwinggw::ctl {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;

using event_lines = std::vector<std::vector<base::timeline_event>>;

void warn(const command_context &Context, const instance_answer &Answer) {
  Context.Err << "Left out " << toText(Answer.Address) << ": "
              << base::describe(Answer.Body.error()) << "\n";
}

bool anyAnswered(const std::vector<instance_answer> &Answers) {
  return std::ranges::any_of(Answers, [](const instance_answer &Answer) {
    return Answer.Body.has_value();
  });
}

/// The error to report when no instance answered.
failure firstFailure(const std::vector<instance_answer> &Answers) {
  if (Answers.empty())
    return {errc::BadSettings,
            "no instance is named; give --operators or --config"};
  return Answers.front().Body.error();
}

json::array statusLines(const std::vector<instance_answer> &Answers) {
  json::array Lines;
  for (const instance_answer &Answer : Answers) {
    json::object Line{{"address", toText(Answer.Address)}};
    const json::value *Instance =
        Answer.Body ? Answer.Body->if_contains("instance") : nullptr;
    if (!Answer.Body)
      Line["state"] = base::kindOf(kindOf(Answer.Body.error())).Name;
    else if (Instance != nullptr && Instance->is_object())
      for (const auto &[Name, Value] : Instance->get_object())
        Line[Name] = Value;
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

json::array statusAnswers(const std::vector<instance_answer> &Answers) {
  json::array Bodies;
  for (const instance_answer &Answer : Answers) {
    json::object Body{{"address", toText(Answer.Address)}};
    if (Answer.Body)
      Body["status"] = *Answer.Body;
    else
      Body["error"] = base::describe(Answer.Body.error());
    Bodies.push_back(std::move(Body));
  }
  return Bodies;
}

event_lines linesOf(const command_context &Context,
                    const std::vector<instance_answer> &Answers) {
  event_lines Lines;
  for (const instance_answer &Answer : Answers) {
    if (!Answer.Body) {
      warn(Context, Answer);
      continue;
    }
    auto Events = base::eventsFromJson(json::serialize(*Answer.Body));
    if (Events)
      Lines.push_back(std::move(*Events));
    else
      warn(Context, {Answer.Address, Events.error()});
  }
  return Lines;
}

std::vector<std::string> cellsOf(const base::timeline_event &Event) {
  return {std::to_string(Event.Time.Wall) + "." +
              std::to_string(Event.Time.Count),
          Event.Instance,
          std::string(base::eventName(Event.Kind)),
          Event.Subject,
          Event.Detail,
          Event.RequestId};
}

void printEvents(std::ostream &Out,
                 const std::vector<base::timeline_event> &Events) {
  std::vector<std::vector<std::string>> Rows;
  std::ranges::transform(Events, std::back_inserter(Rows), cellsOf);
  printTable(Out, {"time", "instance", "event", "of", "detail", "request"},
             Rows);
}

} // namespace

exit_code showStatus(command_context &Context) {
  const auto Answers = requestAll(Context.Client, "/operators/status");
  if (!anyAnswered(Answers))
    return report(Context, firstFailure(Answers));
  if (Context.Options.Json) {
    Context.Out << statusAnswers(Answers) << "\n";
    return exit_code::Ok;
  }
  printRows(Context.Out, statusLines(Answers));
  const auto First =
      std::ranges::find_if(Answers, [](const instance_answer &Answer) {
        return Answer.Body.has_value();
      });
  json::object Rest = *First->Body;
  Rest.erase("instance");
  Context.Out << "\nas seen by " << toText(First->Address) << "\n";
  printObject(Context.Out, Rest);
  return exit_code::Ok;
}

exit_code showTimeline(command_context &Context) {
  const auto Answers = requestAll(Context.Client, "/operators/timeline");
  if (!anyAnswered(Answers))
    return report(Context, firstFailure(Answers));
  auto Events = base::mergeTimelines(linesOf(Context, Answers));
  const std::string &RequestId = Context.Options.RequestId;
  if (!RequestId.empty())
    std::erase_if(Events, [&](const base::timeline_event &Event) {
      return Event.RequestId != RequestId;
    });
  if (Context.Options.Chrome)
    Context.Out << base::toChromeTrace(Events) << "\n";
  else if (Context.Options.Json)
    Context.Out << base::toJson(Events) << "\n";
  else
    printEvents(Context.Out, Events);
  return exit_code::Ok;
}

exit_code showMetrics(command_context &Context) {
  const auto Text = fetchMetrics(Context.Client);
  if (!Text)
    return report(Context, Text.error());
  Context.Out << *Text;
  return exit_code::Ok;
}

exit_code drainInstance(command_context &Context) {
  // Prevents a list of addresses that was meant for another command from
  // stopping a whole fleet.
  if (Context.Options.Operators.size() != 1)
    return report(Context,
                  failure(errc::BadSettings,
                          "drain stops one instance; name exactly one address "
                          "with --operators"));
  const auto Answer =
      requestAny(Context.Client, "/operators/drain", {}, effect::Changes);
  if (!Answer)
    return report(Context, Answer.error());
  if (Context.Options.Json)
    Context.Out << *Answer << "\n";
  else
    Context.Out << "The instance finishes its running work and stops.\n";
  return exit_code::Ok;
}

} // namespace redwinggw::ctl
