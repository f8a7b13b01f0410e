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

/// A whole fleet as real processes on loopback: the platform's stand-in,
/// endpoints, instances. Used from one thread.
namespace redwinggw::fleet {

struct group_plan {
  std::string Name;
  /// The service that it serves.
  std::string Service;
  /// One endpoint a zone, called NAME-1, NAME-2, ...; the first is primary.
  std::vector<std::string> Zones;
  /// Age that session reads accept; 0 sends them to the primary.
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

/// How the endpoints behave; milliseconds, fractions allowed.
struct endpoint_plan {
  unsigned Slots = 5;
  unsigned Connections = 35;
  double ConnectMs = 12;
  double WorkMs = 0.2;
  double LagMs = 50;
  double ShipLagMs = 1;
  /// SQL script that the first primary runs at its start.
  std::string Schema;
};

struct fleet_plan {
  std::vector<group_plan> Groups;
  std::vector<instance_plan> Instances;
  std::vector<customer_plan> Customers;
  endpoint_plan Endpoints;
  double ListLagMs = 500;
  /// More settings of the instances, INI text: sections not written already.
  std::string MoreSettings;
};

/// Two zones, two instances "i1" and "i2", one group "orders-db" of three for
/// the service "orders", customers "dulciuri" and "aterro", whose keys are
/// customerKey of their names; table bag(id, grams).
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

/// Kills all its processes and deletes its files when it is destroyed.
class running_fleet {
public:
  /// Starts nothing yet.
  explicit running_fleet(fleet_plan Plan);
  running_fleet(const running_fleet &) = delete;
  running_fleet &operator=(const running_fleet &) = delete;
  ~running_fleet();

  /// Starts all, submits the sheet and waits until each instance serves.
  /// Throws std::runtime_error with the logs when that does not come about.
  void start();

  // The steps of start, for tests that stop in between.
  void startPlatform();
  void startEndpoints();
  void startInstance(const std::string &Name);
  /// Submits the plan as a sheet made from \p BaseVersion.
  void submitSheet(unsigned BaseVersion = 0);
  void waitUntilServing(const std::string &Name);

  /// Starts an endpoint that has ended; it comes back empty, as a replica.
  void restartEndpoint(const std::string &Name);

  /// Precondition: there is one of that name.
  running_endpoint &endpoint(std::string_view Name);
  running_instance &instance(std::string_view Name);

  /// The primary of \p Group with the highest term, null when none answers.
  running_endpoint *primaryOf(std::string_view Group);

  /// Sets a fault at an endpoint or, with Name "platform", at the platform.
  /// Throws std::runtime_error when it refuses.
  void setFault(std::string_view Name, const boost::json::object &Fault);

  /// State of an endpoint; empty when it does not answer.
  boost::json::object stateOf(std::string_view Endpoint);

  /// Rows of a read on the data of one endpoint; see /admin/dump.
  boost::json::array dump(std::string_view Endpoint, const std::string &Sql);

  /// Changes the state of an instance in the platform's list.
  void listInstance(const std::string &Name, std::string_view State);

  /// Runs redwinggwctl against \p Instance and waits for its end.
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

  /// The ends of all logs, for the report of a failed test.
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
