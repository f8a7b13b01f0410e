#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Child processes of tests. Used from one thread.
namespace redwinggw::fleet {

struct command_line {
  /// Full path.
  std::string Program;
  std::vector<std::string> Arguments;
};

/// One child. Destroying it kills the child; when this process dies without
/// that, the kernel kills the child.
class child_process {
public:
  /// Starts \p Command with both outputs appended to the file \p Log. Throws
  /// std::system_error when it cannot be started.
  child_process(const command_line &Command, std::string Log);
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  ~child_process();

  /// Sends \p Signal, unless the child has ended.
  void signal(int Signal);

  /// Waits for the end: the exit code, or 128 and the signal that killed it.
  /// Nothing when it still runs after \p Patience.
  std::optional<int> wait(std::chrono::milliseconds Patience);

  bool running();

  /// Its process id, also after its end.
  pid_t pid() const { return Pid; }

  /// What it has printed so far.
  std::string output() const;

private:
  pid_t Pid = 0;
  std::optional<int> ExitCode;
  std::string Log;
};

/// Polls \p Condition until it holds; false when it does not within
/// \p Patience.
template <typename Condition>
bool eventually(Condition Holds,
                std::chrono::milliseconds Patience = std::chrono::seconds(30));

/// Sleeps between two polls.
void sleepBetweenPolls();

template <typename Condition>
bool eventually(Condition Holds, std::chrono::milliseconds Patience) {
  const auto Deadline = std::chrono::steady_clock::now() + Patience;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    sleepBetweenPolls();
  }
  return true;
}

} // namespace redwinggw::fleet
