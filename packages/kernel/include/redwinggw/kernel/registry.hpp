#pragma once

#include "redwinggw/base/error.hpp"

#include <functional>
#include <map>
#include <string>
#include <typeindex>
#include <utility>
#include <vector>

/// The micro-kernel: services register by name, find each other by name, are
/// started in the order of their dependencies and drained in reverse.
namespace redwinggw::kernel {

/// A service as the kernel sees it.
struct service {
  std::string Name;
  /// Names of services that must be started before this one.
  std::vector<std::string> Dependencies;
  /// Starts work. Called once.
  std::function<void()> Start;
  /// Begins to drain; must not block. Called at most once.
  std::function<void()> Drain;
  /// The object that other services look up, with its type.
  void *Object = nullptr;
  std::type_index Type = typeid(void);
};

/// All services of one process. Not thread safe: used from the one thread
/// that runs the process.
struct registry {
  std::map<std::string, service, std::less<>> Services;
  std::vector<std::string> Started;
};

/// Adds \p Service. Fails with errc::Conflict when the name is taken.
base::result<void> add(registry &Registry, service Service);

/// Starts all services, dependencies first. Fails with errc::NotFound for a
/// missing dependency and errc::Conflict for a cycle; then none is started.
base::result<void> startAll(registry &Registry);

/// Drains all started services in reverse order. Does nothing when repeated.
void drainAll(registry &Registry);

/// The object called \p Name, null when it is missing or of another type.
void *find(const registry &Registry, std::string_view Name,
           std::type_index Type);

/// The service object called \p Name. Precondition: it was added with this
/// type; otherwise throws std::system_error.
template <typename Object>
Object &lookUp(const registry &Registry, std::string_view Name) {
  void *Found = find(Registry, Name, typeid(Object));
  if (Found == nullptr)
    base::throw_exception_from_error(
        {base::errc::NotFound, "service " + std::string(Name)}, {});
  return *static_cast<Object *>(Found);
}

} // namespace redwinggw::kernel
