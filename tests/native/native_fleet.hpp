#pragma once

#include "child_process.hpp"
#include "native/simulated_platform.hpp"

#include <memory>
#include <string>
#include <vector>

namespace redwinggw::fleet {

/// One real instance process.
struct native_process {
  std::string Name;
  http::address Callers;
  http::address Readiness;
  std::string SettingsFile;
  std::unique_ptr<child_process> Process;
};

/// Real instances against stand-ins of the users' platform. The last instance
/// reaches the store through the stand-in's second address. Used from one
/// thread.
struct native_fleet {
  /// \p Settings: lines to add to the settings of each instance.
  explicit native_fleet(std::size_t Instances,
                        const std::string &Settings = "");
  ~native_fleet();
  native_fleet(const native_fleet &) = delete;
  native_fleet &operator=(const native_fleet &) = delete;

  void start(native_process &Instance);

  standin::simulated_platform World;
  std::string Directory;
  std::vector<native_process> Instances;
};

/// Whether \p Instance reports that it is ready, as the load balancer checks.
bool isReady(const native_process &Instance);

} // namespace redwinggw::fleet
