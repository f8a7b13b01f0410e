#pragma once

#include <functional>
#include <memory>
#include <string_view>

/// The life cycle of an instance, as a Boost.MSM state machine:
///
///   starting --ready--> serving --stop--> draining --drained--> stopped
///   starting --stop--> stopped
namespace redwinggw::kernel {

enum class life_state { Starting, Serving, Draining, Stopped };

enum class life_event { Ready, Stop, Drained };

/// The name of \p State, such as "serving". Thread safe.
std::string_view lifeStateName(life_state State);

/// Not thread safe.
class life_cycle {
public:
  /// \p Entered is called on each change, with the state entered.
  explicit life_cycle(std::function<void(life_state)> Entered);
  life_cycle(const life_cycle &) = delete;
  life_cycle &operator=(const life_cycle &) = delete;
  ~life_cycle();

  /// Handles \p Event. An event without a transition from the current state,
  /// such as a second stop, is ignored.
  void process(life_event Event);

  life_state state() const;

private:
  struct machine;
  std::unique_ptr<machine> Machine;
};

} // namespace redwinggw::kernel
