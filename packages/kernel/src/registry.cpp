#include "redwinggw/kernel/registry.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace redwinggw::kernel {
namespace {

using base::errc;
using base::failure;
using base::result;

/// Topological sort by depth-first search: each service follows its
/// dependencies.
struct ordering {
  const registry &Registry;
  std::vector<std::string> Order;
  std::set<std::string, std::less<>> Visiting;
};

result<void> visit(ordering &Ordering, const std::string &Name) {
  if (std::ranges::find(Ordering.Order, Name) != Ordering.Order.end())
    return {};
  const auto Found = Ordering.Registry.Services.find(Name);
  if (Found == Ordering.Registry.Services.end())
    return failure(errc::NotFound, "service " + Name);
  if (!Ordering.Visiting.insert(Name).second)
    return failure(errc::Conflict, "circular service dependency: " + Name);
  for (const std::string &Dependency : Found->second.Dependencies)
    if (auto Visited = visit(Ordering, Dependency); !Visited)
      return Visited;
  Ordering.Order.push_back(Name);
  return {};
}

} // namespace

result<void> add(registry &Registry, service Service) {
  std::string Name = Service.Name;
  if (!Registry.Services.try_emplace(Name, std::move(Service)).second)
    return failure(errc::Conflict, "service " + Name);
  return {};
}

result<void> startAll(registry &Registry) {
  ordering Ordering{Registry, {}, {}};
  for (const auto &[Name, Service] : Registry.Services)
    if (auto Visited = visit(Ordering, Name); !Visited)
      return Visited;
  for (const std::string &Name : Ordering.Order) {
    Registry.Started.push_back(Name);
    if (const auto &Start = Registry.Services.at(Name).Start)
      Start();
  }
  return {};
}

void drainAll(registry &Registry) {
  const std::vector<std::string> Started = std::exchange(Registry.Started, {});
  std::ranges::for_each(
      std::views::reverse(Started), [&](const std::string &Name) {
        if (const auto &Drain = Registry.Services.at(Name).Drain)
          Drain();
      });
}

void *find(const registry &Registry, std::string_view Name,
           std::type_index Type) {
  const auto Found = Registry.Services.find(Name);
  if (Found == Registry.Services.end() || Found->second.Type != Type)
    return nullptr;
  return Found->second.Object;
}

} // namespace redwinggw::kernel
