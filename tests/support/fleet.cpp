#include "fleet.hpp"

#include "fleet_files.hpp"
#include "free_port.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

namespace redwinggw::fleet {
namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr seconds StartPatience{30};
constexpr std::size_t LogTail = 4000;
constexpr const char *FleetKey = "fleet key of the tests, 1234";
constexpr const char *OperatorKey = "operator key of the tests, 1234";

std::string makeDirectory() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "redwinggw-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("cannot make a directory for the fleet");
  return Name;
}

std::string numberText(double Value) {
  return json::serialize(json::value(Value));
}

bool answersGet(const http::address &Address) {
  return statusOfGet(Address, "/healthz") != 0;
}

std::string tailOf(const child_process &Process) {
  const std::string Text = Process.output();
  return Text.substr(Text.size() - std::min(Text.size(), LogTail));
}

} // namespace

std::string customerKey(std::string_view Customer) {
  return "key of " + std::string(Customer) + " for tests";
}

fleet_plan smallPlan() {
  fleet_plan Plan;
  Plan.Groups = {{"orders-db", "orders", {"z1", "z2", "z2"}}};
  Plan.Instances = {{"i1", "z1"}, {"i2", "z2"}};
  for (const char *Name : {"dulciuri", "aterro"})
    Plan.Customers.push_back({Name, customerKey(Name)});
  Plan.Endpoints.Schema =
      "create table bag(id integer primary key, grams integer not null);\n";
  return Plan;
}

running_fleet::running_fleet(fleet_plan Given)
    : Plan(std::move(Given)), Directory(makeDirectory()) {
  KeyFile = writeFile("fleet.key", FleetKey);
  OperatorKeyFile = writeFile("operator.key", OperatorKey);
  Platform = freeAddress();
  for (const group_plan &Group : Plan.Groups)
    for (const std::string &Zone : Group.Zones) {
      auto Endpoint = std::make_unique<running_endpoint>();
      const auto Number = 1 + (&Zone - Group.Zones.data());
      Endpoint->Name = Group.Name + "-" + std::to_string(Number);
      Endpoint->Group = Group.Name;
      Endpoint->Zone = Zone;
      Endpoint->Address = freeAddress();
      Endpoints.push_back(std::move(Endpoint));
    }
  for (const instance_plan &Instance : Plan.Instances) {
    auto Running = std::make_unique<running_instance>();
    Running->Plan = Instance;
    Running->Callers = freeAddress();
    Running->Operators = freeAddress();
    Running->Peers = freeAddress();
    Instances.push_back(std::move(Running));
  }
}

running_fleet::~running_fleet() {
  Instances.clear();
  Endpoints.clear();
  PlatformProcess.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

void running_fleet::start() {
  startPlatform();
  startEndpoints();
  for (const auto &Instance : Instances)
    startInstance(Instance->Plan.Name);
  submitSheet();
  for (const auto &Instance : Instances)
    waitUntilServing(Instance->Plan.Name);
}

void running_fleet::startPlatform() {
  const command_line Command{STANDIN_PLATFORM,
                             {"--listen", toText(Platform), "--list-lag-ms",
                              numberText(Plan.ListLagMs)}};
  PlatformProcess =
      std::make_unique<child_process>(Command, fileName("platform.log"));
  if (!eventually([&] { return answersGet(Platform); }, StartPatience))
    fail("the platform's stand-in does not answer");
}

void running_fleet::startEndpoints() {
  // Replicas first, so that the primary finds them at once.
  for (const bool Primary : {false, true})
    for (const auto &Endpoint : Endpoints)
      if (Endpoint->Name.ends_with("-1") == Primary)
        startEndpoint(*Endpoint, Primary);
}

void running_fleet::startEndpoint(running_endpoint &Endpoint, bool Primary) {
  const endpoint_plan &Knobs = Plan.Endpoints;
  command_line Command{
      STANDIN_ENDPOINT,
      {"--name", Endpoint.Name, "--group", Endpoint.Group, "--listen",
       toText(Endpoint.Address), "--slots", std::to_string(Knobs.Slots),
       "--connections", std::to_string(Knobs.Connections), "--connect-ms",
       numberText(Knobs.ConnectMs), "--work-ms", numberText(Knobs.WorkMs),
       "--lag-ms", numberText(Knobs.LagMs), "--ship-lag-ms",
       numberText(Knobs.ShipLagMs)}};
  auto &Words = Command.Arguments;
  if (Primary) {
    Words.insert(Words.end(),
                 {"--primary", "--schema",
                  writeFile(Endpoint.Group + ".sql", Knobs.Schema)});
    for (const auto &Member : Endpoints)
      if (Member->Group == Endpoint.Group && Member->Name != Endpoint.Name)
        Words.insert(Words.end(), {"--member", Member->Name + "=" +
                                                   toText(Member->Address)});
  }
  Endpoint.Process = std::make_unique<child_process>(
      Command, fileName(Endpoint.Name + ".log"));
  if (!eventually([&] { return !stateOf(Endpoint.Name).empty(); },
                  StartPatience))
    fail(Endpoint.Name + " does not answer");
}

void running_fleet::restartEndpoint(const std::string &Name) {
  startEndpoint(endpoint(Name), false);
}

void running_fleet::startInstance(const std::string &Name) {
  running_instance &Instance = instance(Name);
  const shared_settings Shared{Platform, KeyFile, OperatorKeyFile,
                               Plan.MoreSettings};
  const std::string File =
      writeFile(Name + ".ini", settingsOf(Instance, Shared));
  const command_line Command{REDWINGGW, {"--config", File}};
  Instance.Process =
      std::make_unique<child_process>(Command, fileName(Name + ".log"));
  listInstance(Name, "live");
  if (!eventually([&] { return answersGet(Instance.Operators); },
                  StartPatience))
    fail(Name + " does not answer operators");
}

void running_fleet::submitSheet(unsigned BaseVersion) {
  const std::string File =
      writeFile("sheet.csv", sheetOf(Plan, Endpoints, FleetKey, BaseVersion));
  tool_result Submitted;
  const bool Accepted = eventually(
      [&] {
        Submitted =
            runTool(Instances.front()->Plan.Name, {"sheet", "submit", File});
        return Submitted.ExitCode == 0;
      },
      StartPatience);
  if (!Accepted)
    fail("the sheet is refused: " + Submitted.Output);
}

void running_fleet::waitUntilServing(const std::string &Name) {
  // The health page reports ready before the sheet is in force.
  caller Caller(Plan.Customers.front().Key, Plan.Groups.front().Service);
  const auto Serves = [&] {
    const reply Reply = Caller.read(instance(Name).Callers, "select 1");
    return outcomeOf(Reply) == "done";
  };
  if (!eventually(Serves, StartPatience))
    fail(Name + " does not serve");
}

running_endpoint &running_fleet::endpoint(std::string_view Name) {
  const auto Found = std::ranges::find_if(
      Endpoints, [&](const auto &Each) { return Each->Name == Name; });
  if (Found == Endpoints.end())
    throw std::out_of_range("no endpoint " + std::string(Name));
  return **Found;
}

running_instance &running_fleet::instance(std::string_view Name) {
  const auto Found = std::ranges::find_if(
      Instances, [&](const auto &Each) { return Each->Plan.Name == Name; });
  if (Found == Instances.end())
    throw std::out_of_range("no instance " + std::string(Name));
  return **Found;
}

running_endpoint *running_fleet::primaryOf(std::string_view Group) {
  running_endpoint *Primary = nullptr;
  std::int64_t Highest = 0;
  for (const auto &Endpoint : Endpoints) {
    if (Endpoint->Group != Group)
      continue;
    const json::object State = stateOf(Endpoint->Name);
    if (textIn(State, "role") != "primary" ||
        State.at("term").as_int64() <= Highest)
      continue;
    Highest = State.at("term").as_int64();
    Primary = Endpoint.get();
  }
  return Primary;
}

const http::address &running_fleet::addressOf(std::string_view Name) {
  return Name == "platform" ? Platform : endpoint(Name).Address;
}

void running_fleet::setFault(std::string_view Name, const json::object &Fault) {
  constexpr unsigned Accepted = 200;
  if (ask(addressOf(Name), "/admin/fault", Fault).Status != Accepted)
    fail(std::string(Name) + " refuses the fault");
}

json::object running_fleet::stateOf(std::string_view Name) {
  constexpr std::chrono::milliseconds Timeout{500};
  const reply Reply =
      ask(endpoint(Name).Address, "/status", json::object(), {}, Timeout);
  const json::value *State = Reply.Body.if_contains("state");
  return State == nullptr ? json::object() : State->as_object();
}

json::array running_fleet::dump(std::string_view Name, const std::string &Sql) {
  const json::object Body{{"sql", Sql}};
  json::array Rows;
  const auto Read = [&] {
    const reply Reply = ask(endpoint(Name).Address, "/admin/dump", Body);
    const json::value *Found = Reply.Body.if_contains("rows");
    if (Found != nullptr)
      Rows = Found->as_array();
    return Found != nullptr;
  };
  if (!eventually(Read))
    fail(std::string(Name) + " does not show its data");
  return Rows;
}

void running_fleet::listInstance(const std::string &Name,
                                 std::string_view State) {
  const running_instance &Instance = instance(Name);
  const json::object Body{{"name", Name},
                          {"zone", Instance.Plan.Zone},
                          {"peers", toText(Instance.Peers)},
                          {"callers", toText(Instance.Callers)},
                          {"operators", toText(Instance.Operators)},
                          {"state", State}};
  ask(Platform, "/admin/instance", Body);
}

running_fleet::tool_result
running_fleet::runTool(std::string_view Instance,
                       std::vector<std::string> Arguments) {
  command_line Command{REDWINGGWCTL,
                       {"--operators", toText(instance(Instance).Operators),
                        "--operator-key-file", OperatorKeyFile}};
  std::ranges::move(Arguments, std::back_inserter(Command.Arguments));
  const std::string Log = "tool-" + std::to_string(++ToolRuns) + ".log";
  child_process Tool(Command, fileName(Log));
  const auto ExitCode = Tool.wait(StartPatience);
  return {ExitCode.value_or(-1), Tool.output()};
}

std::string running_fleet::logs() const {
  std::string Text;
  const auto Add = [&](const std::string &Name, const auto &Process) {
    if (Process)
      Text += "--- " + Name + "\n" + tailOf(*Process);
  };
  Add("platform", PlatformProcess);
  for (const auto &Endpoint : Endpoints)
    Add(Endpoint->Name, Endpoint->Process);
  for (const auto &Instance : Instances)
    Add(Instance->Plan.Name, Instance->Process);
  return Text;
}

std::string running_fleet::fileName(const std::string &Name) const {
  return Directory + "/" + Name;
}

std::string running_fleet::writeFile(const std::string &Name,
                                     const std::string &Content) {
  std::ofstream File(fileName(Name));
  File << Content;
  if (!File.flush())
    throw std::runtime_error("cannot write " + fileName(Name));
  return fileName(Name);
}

void running_fleet::fail(const std::string &What) const {
  throw std::runtime_error(What + "\n" + logs());
}

} // namespace redwinggw::fleet
