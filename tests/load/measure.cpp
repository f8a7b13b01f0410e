#include "measured_fleet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

/// The program behind tools/measure. Exit codes: 0 success, 1 a violation, an
/// unchecked session or a scenario that did not run, 2 the command line is
/// invalid.
namespace {

using namespace redwinggw;
using namespace redwinggw::load;
namespace options = boost::program_options;
namespace json = boost::json;

struct measure_options {
  bool Short = false;
  bool Json = false;
  std::string Deployment;
  std::string Policy;
  std::string Scenario;
  std::string Out = "out";
  std::uint64_t Repetitions = 3;
  base::microseconds Duration{0};
  std::size_t Connections = 0;
  /// Zero takes the number of the deployment, here and for the services.
  std::size_t Instances = 0;
  std::size_t Services = 0;
};

/// The only scenario that the short form runs for the baselines and the second
/// deployment.
constexpr std::string_view ShortScenario = "load";

using scenario_function =
    std::function<base::task<void>(scenario_environment &)>;

struct scenario_row {
  std::string_view Name;
  /// Runs for the baselines too.
  bool ForBaselines;
  /// Part of the short form.
  bool InShort;
  scenario_function Run;
};

const std::vector<scenario_row> &scenarios() {
  static const std::vector<scenario_row> All{
      {"idle", false, true, runIdle},
      {"cold", false, true, runCold},
      {"load", true, true, runNormalAndFlood},
      {"skewed", true, true, runSkewed},
      {"probes", false, true, runProbes},
      {"pause", false, false,
       [](scenario_environment &Environment) {
         return runFailover(Environment, fault_kind::Pause);
       }},
      {"cut", false, true,
       [](scenario_environment &Environment) {
         return runFailover(Environment, fault_kind::Cut);
       }},
      {"kill", false, true, [](scenario_environment &Environment) {
         return runFailover(Environment, fault_kind::Kill);
       }}};
  return All;
}

/// Runs \p Context until \p Task ends; returns its result.
template <typename Value>
Value runTask(boost::asio::io_context &Context, base::task<Value> Task) {
  auto Future =
      boost::asio::co_spawn(Context, std::move(Task), boost::asio::use_future);
  Context.restart();
  Context.run();
  return Future.get();
}

/// Runs the measurements and keeps their results.
class measurement {
public:
  explicit measurement(measure_options Options)
      : Options(std::move(Options)), Start(base::now()) {}

  void runAll() {
    for (const policy &Policy : policies())
      for (const deployment &Deployment : deployments())
        if (wanted(Deployment, Policy))
          tryFleet(Deployment, Policy);
  }

  bool isRight() const { return NotRun.empty() && !hasViolation(); }

  figures Figures;
  /// Scenarios that did not run, with the cause.
  std::vector<std::string> NotRun;

private:
  bool wanted(const deployment &Deployment, const policy &Policy) const {
    // The short form runs the baselines for the first deployment only.
    const bool Skipped = Options.Short && Policy.Baseline &&
                         Deployment.Name != deployments().front().Name;
    return !Skipped &&
           (Options.Deployment.empty() ||
            Options.Deployment == Deployment.Name) &&
           (Options.Policy.empty() || Options.Policy == Policy.Name);
  }

  bool wanted(const scenario_row &Scenario, const deployment &Deployment,
              const policy &Policy) const {
    if (!Options.Scenario.empty())
      return Options.Scenario == Scenario.Name;
    if (Policy.Baseline && !Scenario.ForBaselines)
      return false;
    // The short form runs all its scenarios for the first deployment only.
    const bool Whole = Deployment.Name == deployments().front().Name;
    return !Options.Short || (Whole && !Policy.Baseline && Scenario.InShort) ||
           Scenario.Name == ShortScenario;
  }

  bool isLate() const {
    constexpr std::chrono::seconds ShortLimit{72};
    return Options.Short && base::now() - Start > ShortLimit;
  }

  void tryFleet(deployment Deployment, const policy &Policy) {
    if (Options.Instances > 0)
      Deployment.Instances = Options.Instances;
    if (Options.Services > 0)
      Deployment.Services = numberedServices(Options.Services);
    const std::string Name = Deployment.Name + ", " + Policy.Name;
    if (isLate()) {
      NotRun.push_back(Name + ": no time left in the short form");
      return;
    }
    try {
      std::cerr << "measure: " << Name << "\n";
      fleet::running_fleet Fleet(planOf(Deployment, Policy));
      Fleet.start();
      runScenarios(Fleet, Deployment, Policy);
    } catch (const std::exception &Error) {
      NotRun.push_back(Name + ": " + Error.what());
    }
  }

  void runScenarios(fleet::running_fleet &Fleet, const deployment &Deployment,
                    const policy &Policy) {
    boost::asio::io_context Context;
    const fleet_view View = viewOf(Fleet);
    scenario_environment Environment{
        Context.get_executor(), Deployment, View, Figures, Policy.Name, 1,
        Options.Duration};
    if (!runTask(Context, prepareFleet(Environment)))
      throw std::runtime_error("the fleet does not take writes");
    if (Options.Connections > 0)
      runTask(Context, runConnections(Environment, Options.Connections));
    for (; Environment.Repetition <= Options.Repetitions;
         ++Environment.Repetition)
      for (const scenario_row &Scenario : scenarios())
        if (wanted(Scenario, Deployment, Policy))
          runScenario(Context, Fleet, Environment, Scenario);
  }

  void runScenario(boost::asio::io_context &Context,
                   fleet::running_fleet &Fleet,
                   scenario_environment &Environment,
                   const scenario_row &Scenario) {
    const std::string Name = Environment.Deployment.Name + ", " +
                             Environment.Policy + ", " +
                             std::string(Scenario.Name);
    if (isLate()) {
      NotRun.push_back(Name + ": no time left in the short form");
      return;
    }
    std::cerr << "measure: " << Name << "\n";
    runTask(Context, Scenario.Run(Environment));
    restartKilled(Fleet);
  }

  bool hasViolation() const {
    return std::ranges::any_of(Figures, [](const auto &Entry) {
      const std::string &Measure = Entry.first.Measure;
      return (Measure == "violations" || Measure == "sessions not checked") &&
             spreadOf(Entry.second).Greatest > 0;
    });
  }

  measure_options Options;
  base::instant Start;
};

options::options_description describeOptions() {
  options::options_description Description("measure");
  auto Add = Description.add_options();
  Add("help", "shows this text");
  Add("short",
      "ends within 90 s: one short repetition; all scenarios for dulciuri, "
      "load for aterro and for the baselines");
  Add("json", "prints JSON instead of the table");
  Add("deployment", options::value<std::string>()->default_value(""),
      "dulciuri or aterro only");
  Add("policy", options::value<std::string>()->default_value(""),
      "redwinggw, reads=primary, rate=static or queue=fifo only");
  Add("scenario", options::value<std::string>()->default_value(""),
      "idle, cold, load, skewed, probes, pause, cut or kill only");
  Add("repetitions", options::value<std::uint64_t>()->default_value(3),
      "times that each scenario runs");
  Add("seconds", options::value<double>()->default_value(10),
      "length of one load run");
  Add("connections", options::value<std::size_t>()->default_value(0),
      "also measures one instance with so many caller connections");
  Add("instances", options::value<std::size_t>()->default_value(0),
      "number of instances instead of the deployment's");
  Add("services", options::value<std::size_t>()->default_value(0),
      "number of services, of three databases each, instead of three");
  Add("out", options::value<std::string>()->default_value("out"),
      "folder of the report");
  return Description;
}

measure_options optionsOf(const options::variables_map &Values) {
  constexpr double ShortSeconds = 3;
  measure_options Options;
  Options.Short = Values.contains("short");
  Options.Json = Values.contains("json");
  Options.Deployment = Values["deployment"].as<std::string>();
  Options.Policy = Values["policy"].as<std::string>();
  Options.Scenario = Values["scenario"].as<std::string>();
  Options.Out = Values["out"].as<std::string>();
  Options.Connections = Values["connections"].as<std::size_t>();
  Options.Instances = Values["instances"].as<std::size_t>();
  Options.Services = Values["services"].as<std::size_t>();
  Options.Repetitions =
      Options.Short ? 1 : Values["repetitions"].as<std::uint64_t>();
  const double Seconds =
      Options.Short ? ShortSeconds : Values["seconds"].as<double>();
  Options.Duration = std::chrono::duration_cast<base::microseconds>(
      std::chrono::duration<double>(Seconds));
  return Options;
}

void print(const measurement &Measurement, const measure_options &Options) {
  if (!Options.Json) {
    std::cout << toTable(Measurement.Figures);
    for (const std::string &Line : Measurement.NotRun)
      std::cout << "not run: " << Line << "\n";
    return;
  }
  json::value Value = toJson(Measurement.Figures);
  Value.as_object()["not_run"] = json::value_from(Measurement.NotRun);
  std::cout << json::serialize(Value) << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ExitBadOptions = 2;
  const auto Description = describeOptions();
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n" << Description;
    return ExitBadOptions;
  }
  if (Values.contains("help")) {
    std::cout << Description;
    return 0;
  }
  const measure_options Options = optionsOf(Values);
  measurement Measurement(Options);
  Measurement.runAll();
  print(Measurement, Options);
  std::ofstream(Options.Out + "/measure.html") << toHtml(Measurement.Figures);
  return Measurement.isRight() ? 0 : 1;
}
