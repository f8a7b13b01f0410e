#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Logs through Boost.Log. A line is "time level [part] sentence."; each part
/// has one fixed prefix. Keys and statement texts never go into a line.
namespace redwinggw::base {

enum class log_level { Trace, Debug, Info, Warning, Error };
enum class log_format { Text, Json };

/// The parts of the system, each with its own fixed prefix.
enum class log_part {
  Main,
  Callers,
  Operators,
  Peers,
  Platform,
  Configuration,
  Shares,
  Failover,
  Routing,
  Endpoints,
  Admission,
  Standin,
};

std::optional<log_level> logLevelNamed(std::string_view Name);
std::optional<log_format> logFormatNamed(std::string_view Name);

/// Sends lines of at least \p Level to standard error. Call once, before
/// other threads log. \p Instance stands in each line.
void startLog(log_level Level, log_format Format, std::string Instance);

/// Writes one line. Thread safe.
void log(log_level Level, log_part Part, std::string_view Sentence);

} // namespace redwinggw::base
