#pragma once

#include "redwinggw/base/error.hpp"

#include <functional>
#include <map>
#include <string>
#include <typeindex>
#include <utility>
#include <vector>

/// The microkernel: services register and look each other up by name, are
/// started in dependency order and drained in reverse order.
namespace redwinggw::kernel {

/// A registered service.
struct service {
  std::string Name;
  /// Names of services that must be started before this one.
  std::vector<std::string> Dependencies;
  /// Starts work. Called once.
  std::function<void()> Start;
  /// Starts draining; must not block. Called at most once.
  std::function<void()> Drain;
  /// The object that other services look up, and its type.
  void *Object = nullptr;
  std::type_index Type = typeid(void);
};

/// All services of one process. Not thread safe: used only from the single
/// thread of the process.
struct registry {
  std::map<std::string, service, std::less<>> Services;
  std::vector<std::string> Started;
};

/// Registers \p Service. Fails with errc::Conflict if the name is in use.
base::result<void> add(registry &Registry, service Service);

/// Starts all services, dependencies first. Fails with errc::NotFound for a
/// missing dependency and errc::Conflict for a cycle; then none is started.
base::result<void> startAll(registry &Registry);

/// Drains all started services in reverse order. Further calls do nothing.
void drainAll(registry &Registry);

/// The object of the service \p Name; null if there is none or its type is not
/// \p Type.
void *find(const registry &Registry, std::string_view Name,
           std::type_index Type);

/// The object of the service \p Name. Precondition: a service of that name was
/// added with this type; otherwise throws std::system_error.
template <typename Object>
Object &lookUp(const registry &Registry, std::string_view Name) {
  void *Found = find(Registry, Name, typeid(Object));
  if (Found == nullptr)
    base::throw_exception_from_error(
        {base::errc::NotFound, "service " + std::string(Name)}, {});
  return *static_cast<Object *>(Found);
}

} // namespace redwinggw::kernel
