#pragma once

#include "child_process.hpp"
#include "line_client.hpp"
#include "native/simulated_platform.hpp"

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

/// What the scripts of this review share: the project's program as separate
/// processes against the project's stand-ins of the users' platform.
namespace review {

using redwinggw::fleet::child_process;
using redwinggw::fleet::eventually;
using redwinggw::fleet::line_answer;
using redwinggw::fleet::line_client;
using redwinggw::standin::simulated_database;
using redwinggw::standin::simulated_platform;
using std::chrono::milliseconds;

/// The exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// False with TROUBLE=0: the case runs without its disruption.
bool withTrouble();

/// Writes record.txt: a line for each event, with the time since the start.
class record {
public:
  explicit record(const std::string &File);
  void note(const std::string &Line);
  milliseconds elapsed() const;

private:
  std::ofstream Out;
  std::chrono::steady_clock::time_point Begin;
};

/// One process of the program.
struct instance {
  std::string Name;
  redwinggw::http::address Callers;
  redwinggw::http::address Readiness;
  std::string SettingsFile;
  std::unique_ptr<child_process> Process;
};

/// Processes with the settings that deploy/settings.ini renders for a small
/// deployment, with the loopback addresses of this machine.
class small_fleet {
public:
  /// Throws std::runtime_error if they do not get ready.
  explicit small_fleet(std::size_t Instances, std::size_t Services = 1);
  ~small_fleet();
  small_fleet(const small_fleet &) = delete;
  small_fleet &operator=(const small_fleet &) = delete;

  /// Runs \p Text on a new session; the answer. \p Log may be null.
  line_answer runOnce(std::size_t Instance, const std::string &Database,
                      const std::string &Text, record *Log = nullptr);
  /// Retries \p Text on new sessions until it succeeds, for 20 s at most.
  bool runEventually(std::size_t Instance, const std::string &Database,
                     const std::string &Text, record *Log = nullptr);

  /// Ends all processes at once, as a loss of power does, and starts them.
  /// @{
  void killAll();
  void startAll();
  /// @}

  simulated_platform World;
  std::vector<instance> Instances;

private:
  std::string Directory;
};

/// "DONE ...", or the error code; with the rows.
std::string describe(const line_answer &Answer);

/// Runs \p Case, which returns an exit code; 2 if it throws.
int runCase(const std::string &Folder, int (*Case)(record &Log));

} // namespace review
