#include "redwinggw/base/log.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/time.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <iostream>
#include <mutex>

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
};

log_state &state() {
  static log_state State;
  return State;
}

std::string jsonEscaped(std::string_view Text) {
  std::string Out;
  for (const char Character : Text) {
    if (Character == '"' || Character == '\\')
      Out.push_back('\\');
    if (static_cast<unsigned char>(Character) >= ' ')
      Out.push_back(Character);
  }
  return Out;
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
  return R"({"ms":)" + Time + R"(,"level":")" + LevelName +
         R"(","instance":")" + jsonEscaped(State.Instance) + R"(","part":")" +
         PartName + R"(","text":")" + jsonEscaped(Sentence) + "\"}";
}

} // namespace

std::optional<log_level> logLevelNamed(std::string_view Name) {
  return valueOf(LevelNames, Name);
}

std::optional<log_format> logFormatNamed(std::string_view Name) {
  return valueOf(FormatNames, Name);
}

void startLog(log_level Level, log_format Format, std::string Instance) {
  using backend = boost::log::sinks::text_ostream_backend;
  using sink = boost::log::sinks::synchronous_sink<backend>;
  state().Format = Format;
  state().Instance = std::move(Instance);
  auto Backend = boost::make_shared<backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Backend->auto_flush(true);
  auto Core = boost::log::core::get();
  Core->remove_all_sinks();
  Core->add_sink(boost::make_shared<sink>(Backend));
  Core->set_filter(boost::log::expressions::attr<log_level>("Severity") >=
                   Level);
}

void log(log_level Level, log_part Part, std::string_view Sentence) {
  BOOST_LOG_SEV(state().Logger, Level) << formatted(Level, Part, Sentence);
}

} // namespace redwinggw::base
