#include "redwinggw/kernel/life_cycle.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace redwinggw::kernel {
namespace {

namespace msm = boost::msm;
using base::enum_name;

constexpr std::array StateNames = std::to_array<enum_name<life_state>>({
    {life_state::Starting, "starting"},
    {life_state::Serving, "serving"},
    {life_state::Draining, "draining"},
    {life_state::Stopped, "stopped"},
});

struct ready_event {};
struct stop_event {};
struct drained_event {};

/// A state that reports its entry through the machine's callback.
template <life_state Value> struct notifying_state : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event &, Machine &Owner) {
    Owner.State = Value;
    if (Owner.Entered)
      Owner.Entered(Value);
  }
};

using starting = notifying_state<life_state::Starting>;
using serving = notifying_state<life_state::Serving>;
using draining = notifying_state<life_state::Draining>;
using stopped = notifying_state<life_state::Stopped>;

struct definition : msm::front::state_machine_def<definition> {
  using initial_state = starting;

  // clang-format off
  struct transition_table
      : boost::mpl::vector<
            msm::front::Row<starting, ready_event,   serving>,
            msm::front::Row<starting, stop_event,    stopped>,
            msm::front::Row<serving,  stop_event,    draining>,
            msm::front::Row<draining, drained_event, stopped>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}

  life_state State = life_state::Starting;
  std::function<void(life_state)> Entered;
};

} // namespace

struct life_cycle::machine : msm::back::state_machine<definition> {};

std::string_view lifeStateName(life_state State) {
  return base::nameOf(StateNames, State);
}

life_cycle::life_cycle(std::function<void(life_state)> Entered)
    : Machine(std::make_unique<machine>()) {
  Machine->Entered = std::move(Entered);
  Machine->start();
}

life_cycle::~life_cycle() = default;

void life_cycle::process(life_event Event) {
  switch (Event) {
  case life_event::Ready:
    Machine->process_event(ready_event{});
    break;
  case life_event::Stop:
    Machine->process_event(stop_event{});
    break;
  case life_event::Drained:
    Machine->process_event(drained_event{});
    break;
  }
}

life_state life_cycle::state() const { return Machine->State; }

} // namespace redwinggw::kernel
