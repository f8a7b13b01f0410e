#pragma once

#include <sys/types.h>

#include <optional>

/// CPU time and resident memory of a process, read from /proc.
namespace redwinggw::load {

struct process_cost {
  double CpuSeconds = 0;
  double MemoryBytes = 0;
};

/// Nothing when there is no such process.
std::optional<process_cost> costOf(pid_t Process);

} // namespace redwinggw::load
