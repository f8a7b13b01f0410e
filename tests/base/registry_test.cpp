#include "redwinggw/kernel/registry.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;

namespace {

kernel::service recorded(std::string Name,
                         std::vector<std::string> Dependencies,
                         std::vector<std::string> &Events) {
  kernel::service Service;
  Service.Name = Name;
  Service.Dependencies = std::move(Dependencies);
  Service.Start = [&Events, Name] { Events.push_back("+" + Name); };
  Service.Drain = [&Events, Name] { Events.push_back("-" + Name); };
  return Service;
}

} // namespace

Test(registry, services_start_after_what_they_need_and_drain_in_reverse) {
  std::vector<std::string> Events;
  kernel::registry Registry;
  cr_assert(add(Registry, recorded("a", {"b"}, Events)).has_value());
  cr_assert(add(Registry, recorded("b", {}, Events)).has_value());
  cr_assert(startAll(Registry).has_value());
  drainAll(Registry);
  drainAll(Registry);
  const std::vector<std::string> Expected{"+b", "+a", "-a", "-b"};
  cr_assert(Events == Expected);
}

Test(registry, a_cycle_starts_nothing) {
  std::vector<std::string> Events;
  kernel::registry Registry;
  cr_assert(add(Registry, recorded("a", {"b"}, Events)).has_value());
  cr_assert(add(Registry, recorded("b", {"a"}, Events)).has_value());
  const auto Started = startAll(Registry);
  cr_assert(Started.has_error());
  cr_assert(kindOf(Started.error()) == base::errc::Conflict);
  cr_assert(Events.empty());
}
