#include "redwinggw/data/slot_window.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using std::chrono::microseconds;

namespace {

const base::instant Start{std::chrono::seconds(100)};

/// Runs full rounds in which each request queues in the endpoint for
/// \p Queued.
void runRounds(slot_window &Window, microseconds Queued, int Rounds,
               base::instant &Now) {
  constexpr microseconds Busy{500};
  constexpr microseconds Network{200};
  for (int Round = 0; Round < Rounds; ++Round) {
    while (hasRoom(Window))
      startRequest(Window);
    const microseconds RoundTrip = Busy + Network + Queued;
    Now += RoundTrip;
    finishRequest(Window, RoundTrip, Busy, Now);
  }
}

} // namespace

Test(slot_window, it_grows_to_the_limit_while_nothing_queues) {
  slot_window Window;
  Window.Limit = 8;
  base::instant Now = Start;
  runRounds(Window, microseconds(0), 100, Now);
  cr_assert(Window.Size == 8);
}

// Guards against queueing in the database, where customers cannot be told
// apart: all instances together send more than it has slots.
Test(slot_window, it_shrinks_while_requests_queue_in_the_database) {
  slot_window Window;
  Window.Limit = 8;
  base::instant Now = Start;
  runRounds(Window, microseconds(0), 100, Now);
  runRounds(Window, microseconds(20000), 30, Now);
  cr_assert(Window.Size < 2);
  runRounds(Window, microseconds(0), 100, Now);
  cr_assert(Window.Size == 8);
}
