#include "redwinggw/control/config_in_force.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

bool holds(const std::vector<customer_key> &Keys, const customer_key &Key) {
  return std::ranges::find(Keys, Key) != Keys.end();
}

} // namespace

bool applyVersion(config_in_force &InForce, configuration Accepted) {
  // Guards against a late or reordered answer of the store, which would put an
  // older sheet back in force, so that withdrawn keys work again. Versions only
  // grow.
  if (InForce.Configuration &&
      InForce.Configuration->Version >= Accepted.Version)
    return false;
  auto &Withdrawing = InForce.Withdrawing;
  std::erase_if(Withdrawing, [&](const customer_key &Key) {
    return !holds(Accepted.Keys, Key);
  });
  std::erase_if(Accepted.Keys, [&](const customer_key &Key) {
    return holds(Withdrawing, Key);
  });
  indexKeys(Accepted);
  InForce.Configuration = std::move(Accepted);
  return true;
}

bool withdrawHere(config_in_force &InForce, std::string_view KeyId) {
  if (!InForce.Configuration)
    return false;
  auto &Keys = InForce.Configuration->Keys;
  const auto Found = std::ranges::find(Keys, KeyId, &customer_key::Id);
  if (Found == Keys.end())
    return false;
  InForce.Withdrawing.push_back(*Found);
  Keys.erase(Found);
  indexKeys(*InForce.Configuration);
  return true;
}

void undoWithdrawHere(config_in_force &InForce, std::string_view KeyId) {
  auto &Withdrawing = InForce.Withdrawing;
  const auto Found = std::ranges::find(Withdrawing, KeyId, &customer_key::Id);
  if (Found == Withdrawing.end() || !InForce.Configuration)
    return;
  auto &Keys = InForce.Configuration->Keys;
  Keys.push_back(*Found);
  std::ranges::sort(Keys, {}, &customer_key::Id);
  indexKeys(*InForce.Configuration);
  Withdrawing.erase(Found);
}

} // namespace redwinggw::control
