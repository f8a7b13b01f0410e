#include "group_state.hpp"

namespace redwinggw::data {

base::task<void> superviseGroups(state_pointer State) {
  constexpr base::milliseconds Every{50};
  while (!State->Draining) {
    const base::instant Now = base::now();
    for (auto &[Name, Group] : State->Groups)
      observeGroup(Group.Detector, Group.View, Now);
    co_await pauseFor(State->Executor, Every);
  }
}

} // namespace redwinggw::data
