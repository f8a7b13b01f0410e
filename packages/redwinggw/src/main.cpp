#include "instance.hpp"
#include "platform_instance.hpp"
#include "settings.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

/// The server program. Exit codes: 0 stopped gracefully or the check passed, 1
/// invalid settings, 2 wrong options, 3 unexpected error.
namespace redwinggw {
namespace {

namespace options = boost::program_options;

enum exit_code { ExitOk = 0, ExitSettings = 1, ExitUsage = 2, ExitFault = 3 };

struct command_line {
  bool Help = false;
  bool Version = false;
  bool Check = false;
  std::string Config;
  std::vector<settings_override> Set;
};

options::options_description describeOptions() {
  options::options_description Description("redwinggw");
  Description.add_options()("help,h", "print this help")("version",
                                                         "print the version")(
      "config,c", options::value<std::string>(),
      "settings file (INI)")("check", "validate the settings and exit")(
      "set,s", options::value<std::vector<std::string>>()->composing(),
      "section.key=value, overrides the file; may be repeated");
  return Description;
}

settings_override overrideOf(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    throw options::error("--set " + Text + " is not section.key=value");
  return {Text.substr(0, Equals), Text.substr(Equals + 1)};
}

/// Throws boost::program_options::error for wrong options.
command_line parseCommandLine(int Count, char **Arguments) {
  options::variables_map Values;
  options::store(
      options::parse_command_line(Count, Arguments, describeOptions()), Values);
  command_line Line;
  Line.Help = Values.count("help") != 0;
  Line.Version = Values.count("version") != 0;
  Line.Check = Values.count("check") != 0;
  if (Values.count("config") != 0)
    Line.Config = Values["config"].as<std::string>();
  if (Values.count("set") != 0)
    for (const std::string &Text : Values["set"].as<std::vector<std::string>>())
      Line.Set.push_back(overrideOf(Text));
  if (!Line.Help && !Line.Version && Line.Config.empty())
    throw options::error("--config FILE is missing");
  return Line;
}

base::result<settings> readSettings(const command_line &Line) {
  std::ifstream Stream(Line.Config);
  if (!Stream)
    return base::failure(base::errc::BadSettings,
                         Line.Config + ": the file cannot be read");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return parseSettings(Text.str(), Line.Config, Line.Set);
}

base::result<secrets> readSecrets(const settings &Settings) {
  const auto FleetKey = readSecret(Settings.KeyFile);
  if (!FleetKey)
    return FleetKey.error();
  const auto OperatorKey = readSecret(Settings.OperatorKeyFile);
  if (!OperatorKey)
    return OperatorKey.error();
  return secrets{*FleetKey, *OperatorKey};
}

int reportFailure(const base::failure &Failure) {
  std::cerr << Failure.Detail << "\n"
            << base::describe({kindOf(Failure)}) << "\n";
  return ExitSettings;
}

int runInstance(settings Settings, secrets Secrets) {
  base::startLog(Settings.LogLevel, Settings.LogFormat, Settings.Name);
  boost::asio::io_context Context(1);
  instance Instance(Context, std::move(Settings), std::move(Secrets));
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code Error, int) {
    if (!Error)
      Instance.stop();
  });
  if (const auto Started = Instance.start(); !Started)
    return reportFailure(Started.error());
  Context.run();
  base::log(base::log_level::Info, base::log_part::Main, "Stopped.");
  base::flushLog();
  return ExitOk;
}

/// Reads the settings again; invalid ones are logged and change nothing.
void reload(platform_instance &Instance, const command_line &Line) {
  if (auto Settings = readSettings(Line))
    Instance.reload(std::move(*Settings));
  else
    base::log(base::log_level::Error, base::log_part::Main,
              describe(Settings.error()));
}

void reloadOnSignal(boost::asio::signal_set &Signals,
                    platform_instance &Instance, const command_line &Line) {
  Signals.async_wait([&](boost::system::error_code Error, int) {
    if (Error)
      return;
    reload(Instance, Line);
    reloadOnSignal(Signals, Instance, Line);
  });
}

/// When the settings file was last written; a default value when that is
/// unknown.
std::filesystem::file_time_type settingsTime(const command_line &Line) {
  std::error_code Ignored;
  return std::filesystem::last_write_time(Line.Config, Ignored);
}

/// The platform may change the file without a signal.
void reloadOnChange(boost::asio::steady_timer &Timer,
                    platform_instance &Instance, const command_line &Line,
                    std::filesystem::file_time_type Known) {
  constexpr std::chrono::seconds CheckInterval{2};
  Timer.expires_after(CheckInterval);
  Timer.async_wait([&, Known](boost::system::error_code Error) {
    if (Error)
      return;
    const auto Present = settingsTime(Line);
    if (Present != Known)
      reload(Instance, Line);
    reloadOnChange(Timer, Instance, Line, Present);
  });
}

int runPlatformInstance(settings Settings, const command_line &Line) {
  base::startLog(Settings.LogLevel, Settings.LogFormat, Settings.Name);
  boost::asio::io_context Context(1);
  platform_instance Instance(Context, std::move(Settings));
  boost::asio::signal_set Stops(Context, SIGTERM, SIGINT);
  Stops.async_wait([&](boost::system::error_code Error, int) {
    if (!Error)
      Instance.stop();
  });
  boost::asio::signal_set Reloads(Context, SIGHUP);
  reloadOnSignal(Reloads, Instance, Line);
  boost::asio::steady_timer FileTimer(Context);
  reloadOnChange(FileTimer, Instance, Line, settingsTime(Line));
  if (const auto Started = Instance.start(); !Started)
    return reportFailure(Started.error());
  Context.run();
  base::log(base::log_level::Info, base::log_part::Main, "Stopped.");
  base::flushLog();
  return ExitOk;
}

int runCommand(const command_line &Line) {
  if (Line.Help) {
    std::cout << describeOptions() << "\nKeys of the settings file:\n"
              << settingsTable();
    return ExitOk;
  }
  if (Line.Version) {
    std::cout << "redwinggw " REDWINGGW_VERSION "\n";
    return ExitOk;
  }
  auto Settings = readSettings(Line);
  if (!Settings)
    return reportFailure(Settings.error());
  if (Settings->Kind == platform_kind::Native && !Line.Check)
    return runPlatformInstance(std::move(*Settings), Line);
  if (Settings->Kind == platform_kind::Native) {
    std::cout << "the settings are valid\n";
    return ExitOk;
  }
  auto Secrets = readSecrets(*Settings);
  if (!Secrets)
    return reportFailure(Secrets.error());
  if (Line.Check) {
    std::cout << "the settings are valid\n";
    return ExitOk;
  }
  return runInstance(std::move(*Settings), std::move(*Secrets));
}

} // namespace
} // namespace redwinggw

int main(int Count, char **Arguments) {
  using namespace redwinggw;
  try {
    return runCommand(parseCommandLine(Count, Arguments));
  } catch (const boost::program_options::error &Error) {
    std::cerr << Error.what() << "; see redwinggw --help\n";
    return ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "unexpected error: " << Error.what() << "\n";
    return ExitFault;
  }
}
