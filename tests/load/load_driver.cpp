#include "driver.hpp"
#include "probe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <sstream>

/// Command line of the load driver; prints its report as JSON. Exit codes: 0
/// success, 1 a violation, an unchecked session or a failed preparation (with
/// --endpoint: a failed request or none done), 2 the command line is invalid.
namespace {

using namespace redwinggw;
namespace options = boost::program_options;
namespace json = boost::json;

/// Parses "name:key:rate:burst:offered".
load::customer_load customerOf(const std::string &Text) {
  std::istringstream In(Text);
  load::customer_load Load;
  std::getline(In, Load.Name, ':');
  std::getline(In, Load.Key, ':');
  char Colon = ':';
  if (!(In >> Load.Rate >> Colon >> Load.Burst >> Colon >> Load.Offered))
    throw options::validation_error(
        options::validation_error::invalid_option_value, "customer", Text);
  return Load;
}

std::vector<http::address> addressesOf(const std::vector<std::string> &Texts) {
  std::vector<http::address> Addresses;
  std::ranges::transform(
      Texts, std::back_inserter(Addresses),
      [](const std::string &Text) { return http::parseAddress(Text).value(); });
  return Addresses;
}

load::shape shapeOf(const std::string &Text) {
  const auto Shape = load::shapeNamed(Text);
  if (!Shape)
    throw options::validation_error(
        options::validation_error::invalid_option_value, "shape", Text);
  return *Shape;
}

using texts = std::vector<std::string>;

options::options_description describeOptions() {
  options::options_description Description("load_driver");
  auto Add = Description.add_options();
  Add("help", "shows this text");
  Add("instance", options::value<texts>()->multitoken(), "IP:port of callers");
  Add("customer", options::value<texts>()->multitoken(),
      "name:key:rate:burst:offered");
  Add("service", options::value<texts>()->multitoken(), "services");
  Add("shape", options::value<std::string>()->default_value("steady"),
      "steady, order-peak or filing-day");
  Add("seconds", options::value<double>()->default_value(10), "duration");
  Add("writes", options::value<double>()->default_value(0.2), "share");
  Add("transactions", options::value<double>()->default_value(0.02), "share");
  Add("declared-share", options::value<double>()->default_value(0.2), "share");
  Add("declared-read", options::value<std::string>()->default_value(""),
      "name of the declared read of each service");
  Add("seed", options::value<std::uint64_t>()->default_value(1), "seed");
  Add("one-instance", "each customer at one instance only");
  Add("endpoint", options::value<std::string>(),
      "sends a small read straight to this endpoint instead");
  Add("connections", options::value<std::size_t>()->default_value(4),
      "connections to the endpoint");
  Add("rate", options::value<double>()->default_value(0),
      "requests a second to the endpoint, 0 for as many as it takes");
  return Description;
}

base::microseconds durationOf(const options::variables_map &Values) {
  return std::chrono::duration_cast<base::microseconds>(
      std::chrono::duration<double>(Values["seconds"].as<double>()));
}

load::load_plan planOf(const options::variables_map &Values) {
  load::load_plan Plan;
  for (const std::string &Text : Values["customer"].as<texts>())
    Plan.Customers.push_back(customerOf(Text));
  Plan.Services = Values["service"].as<texts>();
  Plan.Shape = shapeOf(Values["shape"].as<std::string>());
  Plan.Duration = durationOf(Values);
  Plan.WriteShare = Values["writes"].as<double>();
  Plan.TransactionShare = Values["transactions"].as<double>();
  Plan.DeclaredReadShare = Values["declared-share"].as<double>();
  Plan.DeclaredRead = Values["declared-read"].as<std::string>();
  Plan.Seed = Values["seed"].as<std::uint64_t>();
  return Plan;
}

bool drive(const options::variables_map &Values) {
  boost::asio::io_context Context;
  load::driver_options Options;
  Options.OneInstance = Values.contains("one-instance");
  load::driver Driver(Context.get_executor(), planOf(Values),
                      addressesOf(Values["instance"].as<texts>()), Options);
  load::load_report Report;
  bool Prepared = false;
  const auto Run = [&]() -> base::task<void> {
    Prepared = co_await Driver.prepare();
    if (Prepared)
      Report = co_await Driver.run();
  };
  boost::asio::co_spawn(Context, Run(), [](std::exception_ptr Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
  Context.run();
  std::cout << json::serialize(toJson(Report)) << "\n";
  return Prepared && Report.Violations.empty() && Report.Unchecked == 0;
}

bool driveEndpoint(const options::variables_map &Values) {
  boost::asio::io_context Context;
  load::probe_options Options;
  Options.Address =
      http::parseAddress(Values["endpoint"].as<std::string>()).value();
  Options.Connections = Values["connections"].as<std::size_t>();
  Options.Duration = durationOf(Values);
  Options.Rate = Values["rate"].as<double>();
  load::probe_report Report;
  const auto Run = [&]() -> base::task<void> {
    Report = co_await load::probe(Context.get_executor(), Options);
  };
  boost::asio::co_spawn(Context, Run(), [](std::exception_ptr Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
  Context.run();
  json::object Object;
  Object["done"] = Report.Done;
  Object["failed"] = Report.Failed;
  Object["per_second"] = Report.perSecond();
  Object["p50_us"] = quantile(Report.Latency, 0.5).count();
  Object["p99_us"] = quantile(Report.Latency, 0.99).count();
  std::cout << json::serialize(Object) << "\n";
  return Report.Done > 0 && Report.Failed == 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ExitBadOptions = 2;
  const auto Description = describeOptions();
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    if (Values.contains("help")) {
      std::cout << Description;
      return 0;
    }
    const bool Right =
        Values.contains("endpoint") ? driveEndpoint(Values) : drive(Values);
    return Right ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n" << Description;
    return ExitBadOptions;
  }
}
