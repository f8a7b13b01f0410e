#include "redwinggw/base/log.hpp"

#include "redwinggw/base/bounded_output.hpp"
#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/log_text.hpp"
#include "redwinggw/base/time.hpp"

#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <mutex>
#include <unistd.h>

namespace redwinggw::base {
namespace {

constexpr std::array LevelNames = std::to_array<enum_name<log_level>>({
    {log_level::Trace, "trace"},
    {log_level::Debug, "debug"},
    {log_level::Info, "info"},
    {log_level::Warning, "warning"},
    {log_level::Error, "error"},
});

constexpr std::array FormatNames = std::to_array<enum_name<log_format>>({
    {log_format::Text, "text"},
    {log_format::Json, "json"},
});

constexpr std::array PartNames = std::to_array<enum_name<log_part>>({
    {log_part::Main, "main"},
    {log_part::Callers, "callers"},
    {log_part::Operators, "operators"},
    {log_part::Peers, "peers"},
    {log_part::Platform, "platform"},
    {log_part::Configuration, "configuration"},
    {log_part::Shares, "shares"},
    {log_part::Failover, "failover"},
    {log_part::Routing, "routing"},
    {log_part::Endpoints, "endpoints"},
    {log_part::Admission, "admission"},
    {log_part::Standin, "standin"},
});

using logger = boost::log::sources::severity_logger_mt<log_level>;

struct log_state {
  log_format Format = log_format::Text;
  std::string Instance;
  logger Logger;
  std::mutex Mutex;
  bounded_output Output{STDOUT_FILENO};
};

log_state &state() {
  static log_state State;
  return State;
}

/// Log sink that writes lines to the bounded output.
struct output_backend : boost::log::sinks::basic_formatted_sink_backend<
                            char, boost::log::sinks::synchronized_feeding> {
  static void consume(const boost::log::record_view &,
                      const string_type &Line) {
    const std::lock_guard Lock(state().Mutex);
    state().Output.add(Line);
  }
};

std::string prefixOf(log_level Level, log_part Part) {
  const log_state &State = state();
  return R"({"ms":)" + std::to_string(wallMilliseconds()) + R"(,"level":")" +
         std::string(nameOf(LevelNames, Level)) + R"(","instance":")" +
         logText(State.Instance) + R"(","part":")" +
         std::string(nameOf(PartNames, Part)) + "\"";
}

std::string formatted(log_level Level, log_part Part,
                      std::string_view Sentence) {
  const std::string Time = std::to_string(wallMilliseconds());
  const std::string LevelName(nameOf(LevelNames, Level));
  const std::string PartName(nameOf(PartNames, Part));
  const log_state &State = state();
  if (State.Format == log_format::Text)
    return Time + " " + LevelName + " " + State.Instance + " [" + PartName +
           "] " + std::string(Sentence);
  return prefixOf(Level, Part) + R"(,"text":")" + logText(Sentence) + "\"}";
}

} // namespace

std::optional<log_level> logLevelNamed(std::string_view Name) {
  return valueOf(LevelNames, Name);
}

std::optional<log_format> logFormatNamed(std::string_view Name) {
  return valueOf(FormatNames, Name);
}

void startLog(log_level Level, log_format Format, std::string Instance) {
  using sink = boost::log::sinks::synchronous_sink<output_backend>;
  state().Format = Format;
  state().Instance = std::move(Instance);
  auto Backend = boost::make_shared<output_backend>();
  auto Core = boost::log::core::get();
  Core->remove_all_sinks();
  Core->add_sink(boost::make_shared<sink>(Backend));
  setLogLevel(Level);
}

void setLogLevel(log_level Level) {
  boost::log::core::get()->set_filter(
      boost::log::expressions::attr<log_level>("Severity") >= Level);
}

void log(log_level Level, log_part Part, std::string_view Sentence) {
  BOOST_LOG_SEV(state().Logger, Level) << formatted(Level, Part, Sentence);
  if (Level >= log_level::Info)
    flushLog();
}

void logEvent(log_level Level, log_part Part, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  std::string Line = prefixOf(Level, Part);
  Line.append(R"(,"event":")").append(Event).append("\"");
  for (const log_field &Field : Fields)
    Line.append(",\"")
        .append(Field.Name)
        .append(R"(":")")
        .append(logText(Field.Value))
        .append("\"");
  Line.append("}");
  BOOST_LOG_SEV(state().Logger, Level) << Line;
}

void flushLog() {
  const std::lock_guard Lock(state().Mutex);
  state().Output.flush();
}

} // namespace redwinggw::base
