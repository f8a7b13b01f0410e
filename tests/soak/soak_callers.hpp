#pragma once

#include "native_fleet.hpp"
#include "statement_records.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace redwinggw::soak {

/// Callers that write until they are stopped, one for each instance and
/// service. Each uses its connection for as long as it lasts.
class callers {
public:
  /// With \p AllKinds there are as many that send statements of all kinds,
  /// drawn from \p Seed, with values of any bytes.
  callers(const fleet::native_fleet &Fleet, bool AllKinds, std::uint64_t Seed);
  callers(const callers &) = delete;
  callers &operator=(const callers &) = delete;
  ~callers();

  void stop();

  /// By service, the ids of the writes that were seen to succeed. Precondition:
  /// stopped.
  const std::map<std::string, std::set<std::string>> &acknowledged() const {
    return Acknowledged;
  }

  /// By service, all statements and their answers. Precondition: stopped.
  const std::map<std::string, std::vector<fleet::statement_record>> &
  records() const {
    return Records;
  }

  /// Adds statements that were sent by others. Thread safe.
  void addStatements(const std::string &Service,
                     std::vector<fleet::statement_record> Added);

private:
  void run(const fleet::native_process &Instance, const std::string &Service,
           const std::string &Route);

  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::map<std::string, std::set<std::string>> Acknowledged;
  std::map<std::string, std::vector<fleet::statement_record>> Records;
  std::vector<std::thread> Threads;
};

/// The database that callers name for the service \p Index, counted from 0.
std::string routeOf(std::size_t Index);

} // namespace redwinggw::soak
