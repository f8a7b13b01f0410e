#include "deployment.hpp"

#include <algorithm>

namespace redwinggw::load {
namespace {

constexpr double LargeRate = 120;
constexpr double SmallRate = 40;
constexpr std::size_t LargeCustomers = 3;
constexpr std::size_t Customers = 8;

} // namespace

const std::vector<deployment> &deployments() {
  static const std::vector<deployment> All{
      {"dulciuri",
       4,
       {"orders", "stock", "payments"},
       5,
       35,
       8,
       shape::OrderPeak},
      {"aterro",
       3,
       {"tonnage", "ledgers", "assessments"},
       5,
       50,
       6,
       shape::FilingDay}};
  return All;
}

std::vector<std::string> numberedServices(std::size_t Count) {
  std::vector<std::string> Services(Count);
  std::ranges::generate(Services, [Number = 0]() mutable {
    return "s" + std::to_string(++Number);
  });
  return Services;
}

std::string zoneOf(const deployment &Deployment, std::size_t Number) {
  return "z" + std::to_string(1 + Number % Deployment.Zones);
}

std::vector<customer_load> customersOf(const deployment &Deployment,
                                       double Load) {
  std::vector<customer_load> All;
  All.reserve(Customers);
  for (std::size_t Number = 0; Number < Customers; ++Number) {
    const double Rate = Number < LargeCustomers ? LargeRate : SmallRate;
    const std::string Name =
        Deployment.Name + "-c" + std::to_string(Number + 1);
    All.push_back({Name, "key-of-" + Name, Rate, Rate / 2, Rate * Load});
  }
  return All;
}

customer_load probeCustomer() {
  constexpr double Plenty = 1e6;
  return {"probe", "key-of-probe", Plenty, Plenty, 0};
}

} // namespace redwinggw::load
