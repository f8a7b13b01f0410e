#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// Logging through Boost.Log. A text line is "time level instance [part]
/// sentence"; each part of the system has a fixed prefix. Keys and statement
/// texts are never logged.
namespace redwinggw::base {

enum class log_level { Trace, Debug, Info, Warning, Error };
enum class log_format { Text, Json };

/// The parts of the system, which log lines name as their source.
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

/// Sends lines of at least \p Level to standard output without ever blocking:
/// if the reader is too slow, lines are dropped and their number is logged.
/// Call once, before other threads log. Each line names \p Instance.
void startLog(log_level Level, log_format Format, std::string Instance);

/// Sets the minimum level of lines that are written. Thread safe.
void setLogLevel(log_level Level);

/// Writes one line. Thread safe.
void log(log_level Level, log_part Part, std::string_view Sentence);

/// A name and value in a structured line.
struct log_field {
  std::string_view Name;
  std::string Value;
};

/// Writes one structured line about a decision: \p Event names the decision,
/// the fields its inputs. Thread safe.
void logEvent(log_level Level, log_part Part, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Writes buffered lines. Call periodically and before exit.
void flushLog();

} // namespace redwinggw::base
