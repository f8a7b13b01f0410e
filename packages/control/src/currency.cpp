#include "redwinggw/control/currency.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

constexpr std::array Names = std::to_array<base::enum_name<currency>>({
    {currency::Current, "current"},
    {currency::Outage, "outage"},
    {currency::Isolated, "isolated"},
});

} // namespace

std::string_view currencyName(currency Currency) {
  return base::nameOf(Names, Currency);
}

currency judge(currency_state &State, const membership &Membership,
               base::config_version Version, base::instant Now) {
  const store_knowledge &Store = Membership.Store;
  State.Version = Version;
  if (Store.ProofAt && Version == Store.HeadVersion)
    State.ProofAt =
        std::max(State.ProofAt.value_or(*Store.ProofAt), *Store.ProofAt);
  if (State.ProofAt && Now - *State.ProofAt <= State.Limits.Bound)
    return currency::Current;
  // Somebody saw a version that is not in force here: whatever it withdraws
  // must stop, also when the store has gone down since.
  const bool Behind =
      State.Limits.HeedHigherHead && Version < Store.HeadVersion;
  // Cut off together with a minority, we would not hear of an acceptance.
  const bool Majority =
      !State.Limits.NeedMajority || hearsMajority(Membership, Now);
  const bool Outage = State.ProofAt && Store.ReadAt && Majority && !Behind;
  return Outage ? currency::Outage : currency::Isolated;
}

} // namespace redwinggw::control
