#include "commands.hpp"
#include "tool_tables.hpp"

#include "redwinggw/control/sheet.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <ctime>
#include <iomanip>
#include <iterator>
#include <ostream>
#include <sstream>

namespace redwinggw::ctl {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

json::array faultsOf(const std::vector<control::sheet_fault> &Faults) {
  json::array List;
  for (const control::sheet_fault &Fault : Faults)
    List.push_back(json::object{{"row", Fault.Row},
                                {"column", Fault.Column},
                                {"problem", Fault.Problem},
                                {"allowed", Fault.Allowed},
                                {"remedy", Fault.Remedy}});
  return List;
}

/// Reads the sheet that the first operand names. Fails and prints the faults
/// when it is invalid, without a request: an instance would find the same
/// faults.
result<std::string> readValidSheet(command_context &Context) {
  auto Text = readFile(Context.Operands.front());
  if (!Text)
    return Text;
  const auto Reading = control::parseSheet(*Text);
  if (Reading.Faults.empty())
    return Text;
  const json::array Faults = faultsOf(Reading.Faults);
  if (Context.Options.Json)
    Context.Out << json::object{{"ok", false}, {"faults", Faults}} << "\n";
  else
    printRows(Context.Out, Faults);
  return failure(errc::BadSheet, std::to_string(Faults.size()) +
                                     " faults; nothing was changed");
}

/// Prints \p Answer when JSON output was requested. True when it was.
bool printedAsJson(const command_context &Context, const json::object &Answer) {
  if (Context.Options.Json)
    Context.Out << Answer << "\n";
  return Context.Options.Json;
}

std::int64_t numberIn(const json::object &Answer, std::string_view Name) {
  const json::value *Value = Answer.if_contains(Name);
  return Value != nullptr && Value->is_int64() ? Value->get_int64() : 0;
}

bool flagIn(const json::object &Answer, std::string_view Name) {
  const json::value *Value = Answer.if_contains(Name);
  return Value != nullptr && Value->is_bool() && Value->get_bool();
}

void printAccepted(const command_context &Context, const json::object &Answer) {
  Context.Out << (flagIn(Answer, "already") ? "It was accepted before, as"
                                            : "Accepted as")
              << " version " << numberIn(Answer, "version") << "; in force at "
              << numberIn(Answer, "in_force_at") << " of "
              << numberIn(Answer, "instances")
              << " instances that are in contact.\n";
  if (!flagIn(Answer, "confirmed"))
    Context.Err << "A majority of the instances has not yet confirmed this "
                   "version; check `redwinggwctl status` until all have it.\n";
}

/// A request body with the optional operand, a whole number, as member \p Name.
result<json::object> withNumber(const command_context &Context,
                                std::string_view Name) {
  json::object Body;
  if (Context.Operands.empty())
    return Body;
  const std::string &Text = Context.Operands.front();
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End || Number < 1)
    return failure(errc::BadSettings, std::string(Name) + " " + Text +
                                          " is not a whole number from 1");
  Body[Name] = Number;
  return Body;
}

/// Formats a time as "year-month-day hour:minute:second UTC".
std::string timeText(std::int64_t WallMilliseconds) {
  constexpr std::int64_t PerSecond = 1000;
  const auto Seconds = static_cast<std::time_t>(WallMilliseconds / PerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::ostringstream Text;
  Text << std::put_time(&Parts, "%F %T UTC");
  return Text.str();
}

} // namespace

exit_code checkSheet(command_context &Context) {
  const auto Sheet = readValidSheet(Context);
  if (!Sheet)
    return report(Context, Sheet.error());
  if (!printedAsJson(Context, {{"ok", true}, {"faults", json::array()}}))
    Context.Out << "The sheet has no faults.\n";
  return exit_code::Ok;
}

exit_code diffSheet(command_context &Context) {
  const auto Sheet = readValidSheet(Context);
  if (!Sheet)
    return report(Context, Sheet.error());
  const auto Answer = requestAny(Context.Client, "/operators/sheet/diff",
                                 {{"sheet", *Sheet}}, effect::ReadOnly);
  if (!Answer)
    return report(Context, Answer.error());
  if (printedAsJson(Context, *Answer))
    return exit_code::Ok;
  Context.Out << "Made from version " << numberIn(*Answer, "made_from")
              << "; in force is version " << numberIn(*Answer, "in_force")
              << ".\n";
  const json::value *Changes = Answer->if_contains("changes");
  if (Changes == nullptr || !Changes->is_array() ||
      Changes->get_array().empty())
    Context.Out << "The sheet changes nothing.\n";
  else
    printRows(Context.Out, Changes->get_array());
  return exit_code::Ok;
}

exit_code submitSheet(command_context &Context) {
  const auto Sheet = readValidSheet(Context);
  if (!Sheet)
    return report(Context, Sheet.error());
  const auto Answer = requestAny(Context.Client, "/operators/sheet/submit",
                                 {{"sheet", *Sheet}}, effect::Changes);
  if (!Answer)
    return report(Context, Answer.error());
  if (!printedAsJson(Context, *Answer))
    printAccepted(Context, *Answer);
  return exit_code::Ok;
}

exit_code showSheet(command_context &Context) {
  const auto Body = withNumber(Context, "version");
  if (!Body)
    return report(Context, Body.error());
  const auto Answer = requestAny(Context.Client, "/operators/sheet/show", *Body,
                                 effect::ReadOnly);
  if (!Answer)
    return report(Context, Answer.error());
  const json::value *Sheet = Answer->if_contains("sheet");
  if (!printedAsJson(Context, *Answer) && Sheet != nullptr)
    Context.Out << std::string_view(Sheet->as_string());
  return exit_code::Ok;
}

exit_code showHistory(command_context &Context) {
  const auto Body = withNumber(Context, "count");
  if (!Body)
    return report(Context, Body.error());
  const auto Answer = requestAny(Context.Client, "/operators/sheet/history",
                                 *Body, effect::ReadOnly);
  if (!Answer)
    return report(Context, Answer.error());
  if (printedAsJson(Context, *Answer))
    return exit_code::Ok;
  json::array Versions = Answer->at("versions").as_array();
  for (json::value &Version : Versions)
    Version.as_object()["accepted_at"] =
        timeText(Version.at("accepted_at").as_int64());
  printRows(Context.Out, Versions);
  return exit_code::Ok;
}

exit_code giveKey(command_context &Context) {
  const auto Answer =
      requestAny(Context.Client, "/operators/key/give",
                 {{"customer", Context.Operands.front()}}, effect::Changes);
  if (!Answer)
    return report(Context, Answer.error());
  if (printedAsJson(Context, *Answer))
    return exit_code::Ok;
  printAccepted(Context, *Answer);
  Context.Out << "Key id: " << std::string_view(Answer->at("id").as_string())
              << "\nKey: " << std::string_view(Answer->at("key").as_string())
              << "\nThe key is shown only now; hand it to the customer.\n";
  return exit_code::Ok;
}

exit_code withdrawKey(command_context &Context) {
  const auto Answer =
      requestAny(Context.Client, "/operators/key/withdraw",
                 {{"id", Context.Operands.front()}}, effect::Changes);
  if (!Answer)
    return report(Context, Answer.error());
  if (!printedAsJson(Context, *Answer))
    printAccepted(Context, *Answer);
  return exit_code::Ok;
}

exit_code listCustomers(command_context &Context) {
  const auto Answer =
      requestAny(Context.Client, "/operators/customers", {}, effect::ReadOnly);
  if (!Answer)
    return report(Context, Answer.error());
  if (!printedAsJson(Context, *Answer))
    printObject(Context.Out, *Answer);
  return exit_code::Ok;
}

exit_code showCustomer(command_context &Context) {
  const auto Answer =
      requestAny(Context.Client, "/operators/customers", {}, effect::ReadOnly);
  if (!Answer)
    return report(Context, Answer.error());
  for (const json::value &Customer : Answer->at("customers").as_array()) {
    if (Customer.at("name").as_string() != Context.Operands.front())
      continue;
    if (!printedAsJson(Context, Customer.as_object()))
      printObject(Context.Out, Customer.as_object());
    return exit_code::Ok;
  }
  return report(
      Context, failure(errc::NotFound, "customer " + Context.Operands.front()));
}

} // namespace redwinggw::ctl
