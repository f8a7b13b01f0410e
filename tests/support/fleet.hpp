#pragma once

#include "ask.hpp"
#include "child_process.hpp"

#include "redwinggw/http/address.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// A whole fleet as real processes on loopback: stand-ins of the platform and
/// the endpoints, and instances. Used from one thread.
namespace redwinggw::fleet {

struct group_plan {
  std::string Name;
  /// The service that the group serves.
  std::string Service;
  /// Has one endpoint for each zone, called NAME-1, NAME-2, ...; the first is
  /// the primary.
  std::vector<std::string> Zones;
  /// Greatest age of the data that session reads accept; 0 sends them to the
  /// primary.
  unsigned SessionMaxAgeMs = 60'000;
};

struct instance_plan {
  std::string Name;
  std::string Zone;
};

struct customer_plan {
  std::string Name;
  std::string Key;
  double Rate = 10'000;
  double Burst = 1'000;
};

/// Behaviour of the endpoints' stand-ins; milliseconds, fractions allowed.
struct endpoint_plan {
  unsigned Slots = 5;
  unsigned Connections = 35;
  double ConnectMs = 12;
  double WorkMs = 0.2;
  double LagMs = 50;
  double ShipLagMs = 1;
  /// SQL script that the first primary runs when it starts.
  std::string Schema;
};

struct fleet_plan {
  std::vector<group_plan> Groups;
  std::vector<instance_plan> Instances;
  std::vector<customer_plan> Customers;
  endpoint_plan Endpoints;
  double ListLagMs = 500;
  /// Additional settings of the instances as INI text: only sections that are
  /// not written already.
  std::string MoreSettings;
};

/// Two zones; two instances "i1" and "i2"; a group "orders-db" of three
/// endpoints for the service "orders"; customers "dulciuri" and "aterro" with
/// the keys that customerKey returns; table bag(id, grams).
fleet_plan smallPlan();
std::string customerKey(std::string_view Customer);

struct running_endpoint {
  std::string Name;
  std::string Group;
  std::string Zone;
  http::address Address;
  std::unique_ptr<child_process> Process;
};

struct running_instance {
  instance_plan Plan;
  http::address Callers;
  http::address Operators;
  http::address Peers;
  std::unique_ptr<child_process> Process;
};

/// The destructor kills all processes and deletes the files.
class running_fleet {
public:
  explicit running_fleet(fleet_plan Plan);
  running_fleet(const running_fleet &) = delete;
  running_fleet &operator=(const running_fleet &) = delete;
  ~running_fleet();

  /// Starts all processes, submits the sheet and waits until each instance
  /// serves. Throws std::runtime_error with the logs when that fails.
  void start();

  // The steps of start, for tests that need only some of them.
  void startPlatform();
  void startEndpoints();
  void startInstance(const std::string &Name);
  /// Submits the plan as a sheet based on \p BaseVersion.
  void submitSheet(unsigned BaseVersion = 0);
  void waitUntilServing(const std::string &Name);

  /// Restarts an endpoint that has ended, as an empty replica.
  void restartEndpoint(const std::string &Name);

  /// Throw std::out_of_range when there is none of that name.
  running_endpoint &endpoint(std::string_view Name);
  running_instance &instance(std::string_view Name);

  /// The primary of \p Group with the highest term; null when none answers.
  running_endpoint *primaryOf(std::string_view Group);

  /// Injects a fault at an endpoint or, with the name "platform", at the
  /// platform. Throws std::runtime_error when it is refused.
  void setFault(std::string_view Name, const boost::json::object &Fault);

  /// The state that an endpoint reports; empty when it does not answer.
  boost::json::object stateOf(std::string_view Endpoint);

  /// Result of a query on the data of one endpoint; see /admin/dump.
  boost::json::array dump(std::string_view Endpoint, const std::string &Sql);

  /// Changes the state of an instance on the platform's list.
  void listInstance(const std::string &Name, std::string_view State);

  /// Runs redwinggwctl against \p Instance and waits for it to end.
  struct tool_result {
    int ExitCode = 0;
    std::string Output;
  };
  tool_result runTool(std::string_view Instance,
                      std::vector<std::string> Arguments);

  const http::address &platformAddress() const { return Platform; }
  const fleet_plan &plan() const { return Plan; }
  const std::vector<std::unique_ptr<running_endpoint>> &endpoints() const {
    return Endpoints;
  }
  const std::vector<std::unique_ptr<running_instance>> &instances() const {
    return Instances;
  }
  const std::string &directory() const { return Directory; }

  /// The last part of all logs, for the report of a failed test.
  std::string logs() const;

private:
  void startEndpoint(running_endpoint &Endpoint, bool Primary);
  std::string writeFile(const std::string &Name, const std::string &Content);
  std::string fileName(const std::string &Name) const;
  const http::address &addressOf(std::string_view Name);
  [[noreturn]] void fail(const std::string &What) const;

  fleet_plan Plan;
  std::string Directory;
  std::string KeyFile;
  std::string OperatorKeyFile;
  http::address Platform;
  std::unique_ptr<child_process> PlatformProcess;
  std::vector<std::unique_ptr<running_endpoint>> Endpoints;
  std::vector<std::unique_ptr<running_instance>> Instances;
  unsigned ToolRuns = 0;
};

} // namespace redwinggw::fleet
