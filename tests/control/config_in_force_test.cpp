#include "redwinggw/control/config_in_force.hpp"

#include "redwinggw/base/digest.hpp"

#include <algorithm>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;

namespace {

constexpr std::string_view FleetKey = "fleet";

configuration withKeys(base::config_version Version,
                       const std::vector<std::string> &Keys) {
  configuration Configuration;
  Configuration.Version = Version;
  Configuration.Customers.push_back({"a", 1, 1});
  for (const std::string &Key : Keys)
    Configuration.Keys.push_back(
        {Key, "a", base::toHex(base::hmacSha256(FleetKey, Key))});
  return Configuration;
}

bool isKeyInForce(const config_in_force &InForce, std::string_view Key) {
  return InForce.Configuration &&
         findKey(*InForce.Configuration, FleetKey, Key) != nullptr;
}

} // namespace

// Guards against a withdrawn key that works again for a while: two reads of the
// store overlap, and the answer with the older sheet arrives last.
Test(config_in_force, a_late_answer_never_puts_an_older_version_back) {
  std::vector<base::config_version> Order{1, 2, 3, 4};
  do {
    config_in_force InForce;
    base::config_version Highest = 0;
    for (const auto Version : Order) {
      const bool Newer = Version > Highest;
      cr_assert(applyVersion(InForce, withKeys(Version, {})) == Newer);
      Highest = std::max(Highest, Version);
      cr_assert(InForce.Configuration == withKeys(Highest, {}));
    }
  } while (std::ranges::next_permutation(Order).found);
}

Test(config_in_force, a_restarted_instance_has_nothing_in_force) {
  cr_assert(!config_in_force().Configuration.has_value());
}

// An operator withdraws a key and the store's answer is lost. The key must stop
// working here at once, also when a sheet of another operator that still holds
// the key is accepted in between.
Test(config_in_force, a_key_being_withdrawn_stays_out_of_force) {
  config_in_force InForce;
  applyVersion(InForce, withKeys(1, {"k1", "k2"}));
  cr_assert(isKeyInForce(InForce, "k1"));
  cr_assert(withdrawHere(InForce, "k1"));
  cr_assert(!isKeyInForce(InForce, "k1"));
  cr_assert(isKeyInForce(InForce, "k2"));
  applyVersion(InForce, withKeys(2, {"k1", "k2"}));
  cr_assert(!isKeyInForce(InForce, "k1"));
  applyVersion(InForce, withKeys(3, {"k2"}));
  cr_assert(InForce.Withdrawing.empty());
}

Test(config_in_force, a_withdrawal_proved_refused_is_undone) {
  config_in_force InForce;
  applyVersion(InForce, withKeys(1, {"k1", "k2"}));
  withdrawHere(InForce, "k1");
  undoWithdrawHere(InForce, "k1");
  cr_assert(isKeyInForce(InForce, "k1"));
  cr_assert(InForce.Configuration == withKeys(1, {"k1", "k2"}));
}

Test(config_in_force, keys_are_found_with_and_without_the_index) {
  configuration Configuration = withKeys(1, {"a", "b", "c", "d"});
  for (const bool Indexed : {false, true}) {
    for (const std::string Key : {"a", "b", "c", "d"})
      cr_assert(findKey(Configuration, FleetKey, Key)->Id == Key);
    cr_assert(findKey(Configuration, FleetKey, "e") == nullptr);
    cr_assert(findKey(Configuration, "other fleet", "a") == nullptr);
    if (!Indexed)
      indexKeys(Configuration);
  }
}
