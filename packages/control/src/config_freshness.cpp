#include "redwinggw/control/config_freshness.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

constexpr std::array Names = std::to_array<base::enum_name<config_freshness>>({
    {config_freshness::Current, "current"},
    {config_freshness::Outage, "outage"},
    {config_freshness::Isolated, "isolated"},
});

} // namespace

std::string_view configFreshnessName(config_freshness Freshness) {
  return base::nameOf(Names, Freshness);
}

config_freshness evaluateConfigFreshness(config_freshness_state &State,
                                         const membership &Membership,
                                         base::config_version Version,
                                         base::instant Now) {
  const store_observations &Store = Membership.Store;
  State.Version = Version;
  if (Store.HeadReadAt && Version == Store.HeadVersion)
    State.CurrentAsOf = std::max(State.CurrentAsOf.value_or(*Store.HeadReadAt),
                                 *Store.HeadReadAt);
  if (State.CurrentAsOf && Now - *State.CurrentAsOf <= State.Limits.MaxAge)
    return config_freshness::Current;
  // Another instance has read a version that is not in force here: what that
  // version withdraws must stop, even if the store has gone down since.
  const bool Behind =
      State.Limits.StopOnHigherHead && Version < Store.HeadVersion;
  // In a minority partition this instance would not learn of an acceptance.
  const bool Majority =
      !State.Limits.RequireMajority || inContactWithMajority(Membership, Now);
  const bool Outage = State.CurrentAsOf && Store.ReadAt && Majority && !Behind;
  return Outage ? config_freshness::Outage : config_freshness::Isolated;
}

} // namespace redwinggw::control
