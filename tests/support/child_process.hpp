#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Child processes of tests. Used from one thread.
namespace redwinggw::fleet {

struct command_line {
  /// Full path of the executable.
  std::string Program;
  std::vector<std::string> Arguments;
};

/// One child process. The destructor kills it; when this process dies without
/// running the destructor, the kernel kills it.
class child_process {
public:
  /// Starts \p Command with stdout and stderr appended to the file \p Log.
  /// Throws std::system_error when it cannot be started.
  child_process(const command_line &Command, std::string Log);
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  ~child_process();

  /// Sends \p Signal, unless the child has ended.
  void signal(int Signal);

  /// Waits for the child to end. Returns its exit code, or 128 plus the signal
  /// that killed it; nothing when it still runs after \p Patience.
  std::optional<int> wait(std::chrono::milliseconds Patience);

  bool running();

  /// The process id, also after the child's end.
  pid_t pid() const { return Pid; }

  /// The child's output so far.
  std::string output() const;

private:
  pid_t Pid = 0;
  std::optional<int> ExitCode;
  std::string Log;
};

/// Polls \p Holds until it returns true; false after \p Patience.
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
