#include "redwinggw/control/state_source.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::milliseconds;

namespace {

constexpr instant Start{milliseconds(100'000)};

fleet_position joined(bool Relay) { return {true, true, Relay}; }

} // namespace

// Guards against a start of the whole fleet in which each instance reads the
// store: while the size of the fleet is unknown, and while relays can answer.
Test(state_source, leaves_the_store_to_relays_in_a_large_fleet) {
  state_need Need;
  const milliseconds Later = 10 * Need.Patience;
  cr_assert(sourceOf(Need, {}, Start) == state_source::Relays);
  cr_assert(sourceOf(Need, {true, false, false}, Start + Later) ==
            state_source::Relays);
  cr_assert(sourceOf(Need, joined(false), Start + Later) ==
            state_source::Relays);
  cr_assert(sourceOf(Need, joined(true), Start + Later) == state_source::Store);
}

Test(state_source, reads_the_store_at_once_in_a_small_fleet) {
  state_need Need;
  cr_assert(sourceOf(Need, {false, false, false}, Start) ==
            state_source::Store);
  cr_assert(sourceOf(Need, {false, true, true}, Start) == state_source::Store);
}

// Guards against an instance that serves nothing because its relays are lost.
Test(state_source, reads_the_store_when_relays_give_nothing_in_time) {
  state_need Need;
  instant Now = Start;
  cr_assert(sourceOf(Need, joined(false), Now) == state_source::Relays);
  Now += Need.Patience + milliseconds(1);
  cr_assert(sourceOf(Need, joined(false), Now) == state_source::Store);
  // After that read the relays are asked first again.
  cr_assert(sourceOf(Need, joined(false), Now) == state_source::Relays);
}

// The time in which a state was not lacking does not count.
Test(state_source, begins_a_new_wait_after_the_state_was_supplied) {
  state_need Need;
  sourceOf(Need, joined(false), Start);
  noteSupplied(Need);
  const instant Now = Start + 2 * Need.Patience;
  cr_assert(sourceOf(Need, joined(false), Now) == state_source::Relays);
  cr_assert(sourceOf(Need, joined(false), Now + Need.Patience) ==
            state_source::Relays);
}
