#include "redwinggw/base/hybrid_clock.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::base;

// Guards against a timeline that shows a response before its request: the wall
// clock is set back by 500 ms between the two events.
Test(hybrid_clock, a_wall_clock_that_steps_back_keeps_the_order) {
  hybrid_clock Clock;
  const hybrid_time First = tick(Clock, 1000);
  const hybrid_time Second = tick(Clock, 500);
  const hybrid_time Third = tick(Clock, 1001);
  cr_assert(First < Second);
  cr_assert(Second < Third);
  cr_assert(Third.Wall == 1001);
}

Test(hybrid_clock, a_receipt_comes_after_the_sending_of_a_faster_clock) {
  hybrid_clock Sender;
  hybrid_clock Receiver;
  const hybrid_time Sent = tick(Sender, 1400);
  const merged_time Received = merge(Receiver, Sent, 1000);
  cr_assert(Received.PeerAccepted);
  cr_assert(Sent < Received.Time);
  cr_assert(Received.Time < tick(Receiver, 1000));
}

// Guards against one wrong clock moving all others: an instance starts with its
// clock a day ahead and sends one message. The timelines of all other instances
// would jump a day ahead and stay there.
Test(hybrid_clock, a_peer_far_ahead_does_not_move_the_clock) {
  for (const auto &[Drift, Accepted] :
       {std::pair{1000, true}, {1001, false}, {86'400'000, false}}) {
    hybrid_clock Clock;
    tick(Clock, 5000);
    const merged_time Merged = merge(Clock, {5000 + Drift, 0}, 5000);
    cr_assert(Merged.PeerAccepted == Accepted);
    cr_assert((Merged.Time.Wall == 5000) == !Accepted);
    cr_assert((hybrid_time{5000, 0} < Merged.Time));
  }
}

Test(hybrid_clock, a_full_count_goes_over_into_the_next_millisecond) {
  hybrid_clock Clock;
  Clock.Last = {1000, 0xFFFFFFFF};
  cr_assert((tick(Clock, 1000) == hybrid_time{1001, 0}));
}
