#pragma once

#include <initializer_list>
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

/// Sends lines of at least \p Level to standard output, which is never waited
/// for: a reader that is too slow loses lines, and is told how many. Call once,
/// before other threads log. \p Instance stands in each line.
void startLog(log_level Level, log_format Format, std::string Instance);

/// Changes the least level that is written. Thread safe.
void setLogLevel(log_level Level);

/// Writes one line. Thread safe.
void log(log_level Level, log_part Part, std::string_view Sentence);

/// A named value of a structured line.
struct log_field {
  std::string_view Name;
  std::string Value;
};

/// Writes one structured line about a decision: \p Event names what was
/// decided, the fields its inputs. Thread safe.
void logEvent(log_level Level, log_part Part, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Writes lines that still wait. To be called every so often and at the end.
void flushLog();

} // namespace redwinggw::base
