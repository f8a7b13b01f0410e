#include "redwinggw/control/operator_routes.hpp"

#include "redwinggw/control/config_changes.hpp"
#include "redwinggw/control/sheet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;
using base::task;
using answer = task<result<json::object>>;

constexpr std::int64_t DefaultHistory = 20;
constexpr std::int64_t MaxHistory = 200;

/// The required, non-empty string \p Name.
result<std::string> textIn(const json::object &Body, std::string_view Name) {
  const json::value *Value = Body.if_contains(Name);
  if (Value == nullptr || !Value->is_string() || Value->get_string().empty())
    return failure(errc::BadRequest, std::string(Name) + " must be a text");
  return std::string(Value->get_string());
}

/// The integer \p Name, at least 1; \p Default if it is absent.
result<std::int64_t> numberIn(const json::object &Body, std::string_view Name,
                              std::int64_t Default) {
  const json::value *Value = Body.if_contains(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_int64() || Value->get_int64() < 1)
    return failure(errc::BadRequest,
                   std::string(Name) + " must be a whole number from 1");
  return Value->get_int64();
}

json::array faultsOf(const std::vector<sheet_fault> &Faults) {
  json::array List;
  for (const sheet_fault &Fault : Faults)
    List.push_back(json::object{{"row", Fault.Row},
                                {"column", Fault.Column},
                                {"problem", Fault.Problem},
                                {"allowed", Fault.Allowed},
                                {"remedy", Fault.Remedy}});
  return List;
}

json::array changesOf(const std::vector<config_change> &Changes) {
  json::array List;
  for (const config_change &Change : Changes)
    List.push_back(json::object{{"part", rowKindName(Change.RowKind)},
                                {"name", Change.Name},
                                {"change", changeName(Change.Kind)}});
  return List;
}

json::object bodyOf(const submitted &Submitted) {
  return {{"version", Submitted.Version},
          {"already", Submitted.AlreadyAccepted},
          {"confirmed", Submitted.Confirmed},
          {"in_force_at", Submitted.InForceAt},
          {"instances", Submitted.Instances}};
}

json::object bodyOf(const accepted_sheet &Sheet) {
  return {{"version", Sheet.Version},
          {"accepted_at", Sheet.AcceptedAt},
          {"digest", Sheet.Digest},
          {"submission", Sheet.Submission}};
}

answer checkSheet(json::object Body) {
  const auto Text = textIn(Body, "sheet");
  if (!Text)
    co_return Text.error();
  const sheet_parse_result Parsed = parseSheet(*Text);
  co_return json::object{{"ok", Parsed.Configuration.has_value()},
                         {"faults", faultsOf(Parsed.Faults)}};
}

answer diffSheet(configuration_service &Service, json::object Body) {
  const auto Text = textIn(Body, "sheet");
  if (!Text)
    co_return Text.error();
  const sheet_parse_result Parsed = parseSheet(*Text);
  json::object Answer{{"ok", Parsed.Configuration.has_value()},
                      {"faults", faultsOf(Parsed.Faults)},
                      {"in_force", Service.inForce().Version}};
  if (!Parsed.Configuration)
    co_return Answer;
  Answer["made_from"] = Parsed.Configuration->Version;
  Answer["changes"] =
      changesOf(changesBetween(Service.inForce(), *Parsed.Configuration));
  co_return Answer;
}

answer submitSheet(configuration_service &Service, json::object Body) {
  auto Text = textIn(Body, "sheet");
  if (!Text)
    co_return Text.error();
  const auto Submitted = co_await Service.submit(std::move(*Text));
  if (!Submitted)
    co_return Submitted.error();
  co_return bodyOf(*Submitted);
}

answer showSheet(configuration_service &Service, json::object Body) {
  const auto Version = numberIn(Body, "version", 0);
  if (!Version)
    co_return Version.error();
  if (*Version == 0 && !Service.hasConfiguration())
    co_return failure(errc::StaleConfiguration, "the store was not read yet");
  if (*Version == 0)
    co_return json::object{{"version", Service.inForce().Version},
                           {"sheet", renderSheet(Service.inForce())}};
  const auto Sheet =
      co_await Service.sheetOf(static_cast<base::config_version>(*Version));
  if (!Sheet)
    co_return Sheet.error();
  json::object Answer = bodyOf(*Sheet);
  Answer["sheet"] = Sheet->Text;
  co_return Answer;
}

answer showHistory(configuration_service &Service, json::object Body) {
  const auto Count = numberIn(Body, "count", DefaultHistory);
  if (!Count)
    co_return Count.error();
  const auto Sheets = co_await Service.history(
      static_cast<std::size_t>(std::min(*Count, MaxHistory)));
  if (!Sheets)
    co_return Sheets.error();
  json::array Versions;
  for (const accepted_sheet &Sheet : *Sheets)
    Versions.push_back(bodyOf(Sheet));
  co_return json::object{{"versions", std::move(Versions)}};
}

json::array keysOf(const configuration &Configuration,
                   std::string_view Customer) {
  json::array Ids;
  for (const customer_key &Key : Configuration.Keys)
    if (Key.Customer == Customer)
      Ids.emplace_back(Key.Id);
  return Ids;
}

answer showCustomers(configuration_service &Service) {
  const configuration &Configuration = Service.inForce();
  if (!Service.hasConfiguration())
    co_return failure(errc::StaleConfiguration, "the store was not read yet");
  json::array Customers;
  for (const customer &Customer : Configuration.Customers)
    Customers.push_back(
        json::object{{"name", Customer.Name},
                     {"rate", Customer.Rate},
                     {"burst", Customer.Burst},
                     {"keys", keysOf(Configuration, Customer.Name)}});
  co_return json::object{{"version", Configuration.Version},
                         {"customers", std::move(Customers)}};
}

answer giveKey(configuration_service &Service, json::object Body) {
  auto Customer = textIn(Body, "customer");
  if (!Customer)
    co_return Customer.error();
  const auto Given = co_await Service.giveKey(std::move(*Customer));
  if (!Given)
    co_return Given.error();
  json::object Answer = bodyOf(Given->Submitted);
  Answer["id"] = Given->Id;
  Answer["key"] = Given->Key;
  co_return Answer;
}

answer withdrawKey(configuration_service &Service, json::object Body) {
  auto Id = textIn(Body, "id");
  if (!Id)
    co_return Id.error();
  const auto Withdrawn = co_await Service.withdrawKey(std::move(*Id));
  if (!Withdrawn)
    co_return Withdrawn.error();
  co_return bodyOf(*Withdrawn);
}

answer showInstances(storage::store &Store) {
  const auto Listed = co_await storage::listInstances(Store);
  if (!Listed)
    co_return Listed.error();
  json::array Instances;
  for (const storage::listed_instance &Instance : *Listed)
    Instances.push_back(
        json::object{{"name", Instance.Name},
                     {"zone", Instance.Zone},
                     {"operators", http::toText(Instance.Operators)},
                     {"state", Instance.Leaving ? "leaving" : "live"}});
  co_return json::object{{"instances", std::move(Instances)}};
}

json::value statusOf(const configuration_service &Service) {
  const configuration &Configuration = Service.inForce();
  json::object Status{{"read", Service.hasConfiguration()},
                      {"version", Configuration.Version},
                      {"customers", Configuration.Customers.size()},
                      {"keys", Configuration.Keys.size()}};
  if (const auto Answered = Service.lastStoreAnswer())
    Status["store_age_ms"] =
        std::chrono::duration_cast<base::milliseconds>(base::now() - *Answered)
            .count();
  return Status;
}

} // namespace

void addConfigurationRoutes(operator_server &Server,
                            configuration_service &Service) {
  using handler = answer (*)(configuration_service &, json::object);
  const auto Add = [&](const char *Path, handler Handler) {
    Server.addRoute(Path, [&Service, Handler](json::object Body) {
      return Handler(Service, std::move(Body));
    });
  };
  Server.addRoute("/operators/sheet/check", checkSheet);
  Add("/operators/sheet/diff", diffSheet);
  Add("/operators/sheet/submit", submitSheet);
  Add("/operators/sheet/show", showSheet);
  Add("/operators/sheet/history", showHistory);
  Add("/operators/key/give", giveKey);
  Add("/operators/key/withdraw", withdrawKey);
  Server.addRoute("/operators/customers",
                  [&Service](json::object) { return showCustomers(Service); });
  Server.addStatus("configuration", [&Service] { return statusOf(Service); });
}

void addInstancesRoute(operator_server &Server, storage::store &Store) {
  Server.addRoute("/operators/instances",
                  [&Store](json::object) { return showInstances(Store); });
}

} // namespace redwinggw::control
