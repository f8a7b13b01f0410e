#pragma once

#include "child_process.hpp"
#include "native/simulated_platform.hpp"

#include <memory>
#include <string>
#include <vector>

namespace redwinggw::fleet {

/// One real instance.
struct native_process {
  std::string Name;
  http::address Callers;
  http::address Readiness;
  std::string SettingsFile;
  std::unique_ptr<child_process> Process;
};

/// Real instances before a world of stand-ins; the last one reaches the store
/// by the second way. Used from one thread.
struct native_fleet {
  explicit native_fleet(std::size_t Instances);
  ~native_fleet();
  native_fleet(const native_fleet &) = delete;
  native_fleet &operator=(const native_fleet &) = delete;

  void start(native_process &Instance);

  standin::simulated_platform World;
  std::string Directory;
  std::vector<native_process> Instances;
};

/// Whether the balancer would send callers to \p Instance.
bool isReady(const native_process &Instance);

} // namespace redwinggw::fleet
