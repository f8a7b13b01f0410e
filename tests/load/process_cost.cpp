#include "process_cost.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace redwinggw::load {
namespace {

/// User and system time are the 14th and 15th field of /proc/PID/stat; the
/// second, the name in parentheses, may hold spaces.
double cpuSecondsOf(const std::string &Stat) {
  constexpr int FieldsBetween = 11;
  std::istringstream In(Stat.substr(Stat.rfind(')') + 1));
  std::string Skipped;
  for (int Field = 0; Field < FieldsBetween; ++Field)
    In >> Skipped;
  double User = 0;
  double System = 0;
  In >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace

std::optional<process_cost> costOf(pid_t Process) {
  const std::string Folder = "/proc/" + std::to_string(Process);
  std::ifstream StatFile(Folder + "/stat");
  std::string Stat;
  if (!std::getline(StatFile, Stat))
    return std::nullopt;
  std::ifstream MemoryFile(Folder + "/statm");
  double Total = 0;
  double Resident = 0;
  MemoryFile >> Total >> Resident;
  return process_cost{cpuSecondsOf(Stat),
                      Resident * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace redwinggw::load
