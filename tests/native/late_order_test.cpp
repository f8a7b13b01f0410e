#include "held_order.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;

// Guards against writes at a primary that an order replaces which the platform
// carries out long after its orderer's end.
Test(late_orders, order_of_a_killed_orderer) {
  writeAfterAKilledOrderer(held_by::Platform);
}

// Guards against the same for an order that its own orderer has given up.
Test(late_orders, order_that_its_orderer_gave_up) {
  writeAfterAnOrderThatWasGivenUp(held_by::Platform);
}

// Guards against the same for an order that is carried out while the next
// orderer's has not taken effect.
Test(late_orders, order_carried_out_during_the_next_move) {
  writeAfterAnOrderDuringTheNextMove(held_by::Platform);
}
