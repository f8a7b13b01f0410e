#include "measured_fleet.hpp"

#include <csignal>

namespace redwinggw::load {

const std::vector<policy> &policies() {
  static const std::vector<policy> All{
      {"redwinggw", "", false},
      {"reads=primary", "[policy]\nreads = primary\n", true},
      {"rate=static", "[policy]\nrate = static\n", true},
      {"queue=fifo", "[policy]\nqueue = fifo\n", true}};
  return All;
}

fleet::fleet_plan planOf(const deployment &Deployment, const policy &Policy) {
  constexpr std::size_t DatabasesAService = 3;
  constexpr unsigned SessionMaxAgeMs = 5000;
  fleet::fleet_plan Plan;
  for (const std::string &Service : Deployment.Services) {
    fleet::group_plan Group;
    Group.Name = Service + "-db";
    Group.Service = Service;
    Group.SessionMaxAgeMs = SessionMaxAgeMs;
    for (std::size_t Number = 0; Number < DatabasesAService; ++Number)
      Group.Zones.push_back(zoneOf(Deployment, Number));
    Plan.Groups.push_back(std::move(Group));
  }
  for (std::size_t Number = 0; Number < Deployment.Instances; ++Number)
    Plan.Instances.push_back(
        {"i" + std::to_string(Number + 1), zoneOf(Deployment, Number)});
  auto Customers = customersOf(Deployment, 0);
  Customers.push_back(probeCustomer());
  for (const customer_load &Customer : Customers)
    Plan.Customers.push_back(
        {Customer.Name, Customer.Key, Customer.Rate, Customer.Burst});
  Plan.Endpoints.Slots = Deployment.Slots;
  Plan.Endpoints.Connections = Deployment.Connections;
  Plan.MoreSettings = "[log]\nlevel = warning\n" + Policy.Settings;
  return Plan;
}

fleet_view viewOf(fleet::running_fleet &Fleet) {
  fleet_view View;
  for (const auto &Instance : Fleet.instances()) {
    View.Callers.push_back(Instance->Callers);
    View.Operators.push_back(Instance->Operators);
    View.Instances.push_back(Instance->Process->pid());
  }
  for (const auto &Endpoint : Fleet.endpoints()) {
    const std::string Service =
        Endpoint->Group.substr(0, Endpoint->Group.rfind("-db"));
    View.Databases.push_back({Endpoint->Name, Service, Endpoint->Address});
  }
  View.Kill = [&Fleet](const std::string &Database) {
    Fleet.endpoint(Database).Process->signal(SIGKILL);
  };
  return View;
}

void restartKilled(fleet::running_fleet &Fleet) {
  for (const auto &Endpoint : Fleet.endpoints())
    if (!Endpoint->Process->running())
      Fleet.restartEndpoint(Endpoint->Name);
}

} // namespace redwinggw::load
