#pragma once

#include "promotion_model.hpp"

/// The transitions of promotion_model.hpp.
namespace redwinggw::promotion_model {

/// Collects what can happen next.
struct collector {
  const setting &Setting;
  const state &State;
  std::vector<transition> Found;
};

/// Adds a transition, which changes the returned state. The reference holds
/// until the next one is added.
state &add(collector &Collector, std::string_view Name, number First,
           number Second, bool Fault = false);

/// The instance learns of a claim, unless an own order in flight forbids it.
void learn(const setting &Setting, state &State, number Instance,
           number Service, const claim &Claim);
void learnRows(const setting &Setting, state &State, number Instance);
bool withholdsClaims(const setting &Setting, const state &State,
                     number Instance, number Service);

/// Whether the orderer reaches the store and has its lease.
bool isHere(const state &State, number Orderer);

/// The order neither takes effect any more nor is awaited.
void removeOrder(state &State, std::size_t At);

/// The orders of \p Service that may still take effect; of all services for
/// MaxServices.
number unsettledOrders(const setting &Setting, const state &State,
                       number Service);

void addClaim(collector &Collector, number Orderer, number Service);
void addAcknowledged(collector &Collector, number Orderer, number Service);
/// All that \p Orderer can do for \p Service.
void addTaskSteps(collector &Collector, number Orderer, number Service);
void addOrderSteps(collector &Collector, std::size_t At);
void addDatabaseSteps(collector &Collector, number Service, number At);
void addInstanceSteps(collector &Collector, number At);
void addInstanceFaults(collector &Collector);

} // namespace redwinggw::promotion_model
