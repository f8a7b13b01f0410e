#include "child_process.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace redwinggw::fleet {
namespace {

constexpr std::chrono::milliseconds PollInterval{10};
constexpr int SignalBase = 128;
constexpr mode_t LogMode = 0644;

/// Keeps children from outliving a test that was killed or crashed, in which no
/// destructor runs. The kernel keeps this setting across exec.
constexpr const char *Guard = "/usr/bin/setpriv";

std::vector<std::string> wordsOf(const command_line &Command) {
  std::vector<std::string> Words{Guard, "--pdeathsig", "KILL", "--",
                                 Command.Program};
  std::ranges::copy(Command.Arguments, std::back_inserter(Words));
  return Words;
}

pid_t spawn(const command_line &Command, const std::string &Log) {
  std::vector<std::string> Words = wordsOf(Command);
  std::vector<char *> Pointers;
  std::ranges::transform(Words, std::back_inserter(Pointers),
                         [](std::string &Word) { return Word.data(); });
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDIN_FILENO, "/dev/null", O_RDONLY,
                                   0);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits the parent's sockets keeps them open when the parent
  // closes them: the other end would never see the close, and would count a
  // connection that nobody uses.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  pid_t Pid = 0;
  const int Code =
      posix_spawn(&Pid, Guard, &Files, nullptr, Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Code != 0)
    throw std::system_error(Code, std::generic_category(), Command.Program);
  return Pid;
}

int exitCodeOf(int Status) {
  if (WIFSIGNALED(Status))
    return SignalBase + WTERMSIG(Status);
  return WEXITSTATUS(Status);
}

} // namespace

child_process::child_process(const command_line &Command, std::string Log)
    : Pid(spawn(Command, Log)), Log(std::move(Log)) {}

child_process::~child_process() {
  if (!running())
    return;
  kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
}

void child_process::signal(int Signal) {
  if (running())
    kill(Pid, Signal);
}

std::optional<int> child_process::wait(std::chrono::milliseconds Patience) {
  eventually([&] { return !running(); }, Patience);
  return ExitCode;
}

bool child_process::running() {
  if (ExitCode)
    return false;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) != Pid)
    return true;
  ExitCode = exitCodeOf(Status);
  return false;
}

std::string child_process::output() const {
  const std::ifstream File(Log);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void sleepBetweenPolls() { std::this_thread::sleep_for(PollInterval); }

} // namespace redwinggw::fleet
