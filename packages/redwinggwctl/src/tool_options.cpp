#include "tool_options.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <sstream>

namespace redwinggw::ctl {
namespace {

namespace options = boost::program_options;
using base::errc;
using base::failure;
using base::result;

/// Option values before validation.
struct raw_options {
  std::string Operators;
  std::string Config;
  std::string KeyFile;
};

options::options_description visibleOptions(tool_options &Options,
                                            raw_options &Raw) {
  options::options_description Visible("Options");
  Visible.add_options()(
      "operators", options::value(&Raw.Operators)->value_name("IP:port,..."),
      "operators' addresses of instances; asked in this order")(
      "config", options::value(&Raw.Config)->value_name("FILE"),
      "INI file with [listen] operators and [fleet] operator_key_file, as an "
      "instance's settings")("operator-key-file",
                             options::value(&Raw.KeyFile)->value_name("FILE"),
                             "file that holds the operators' key")(
      "request", options::value(&Options.RequestId)->value_name("ID"),
      "time line of one request")("chrome",
                                  options::bool_switch(&Options.Chrome),
                                  "time line in Chrome's trace format")(
      "json", options::bool_switch(&Options.Json), "answers as JSON")(
      "version", options::bool_switch(&Options.ShowVersion),
      "print the version")("help", options::bool_switch(&Options.ShowHelp),
                           "print this");
  return Visible;
}

/// Takes options that the command line does not give from the INI file.
result<void> readConfig(raw_options &Raw) {
  if (Raw.Config.empty())
    return {};
  const auto Text = readFile(Raw.Config);
  if (!Text)
    return Text.error();
  std::string Operators;
  std::string KeyFile;
  options::options_description Known;
  Known.add_options()("listen.operators", options::value(&Operators))(
      "fleet.operator_key_file", options::value(&KeyFile));
  options::variables_map Values;
  std::istringstream Stream(*Text);
  options::store(options::parse_config_file(Stream, Known, true), Values);
  options::notify(Values);
  if (Raw.Operators.empty())
    Raw.Operators = Operators;
  if (Raw.KeyFile.empty())
    Raw.KeyFile = KeyFile;
  return {};
}

result<void> readAddresses(const raw_options &Raw, tool_options &Options) {
  if (Raw.Operators.empty())
    return {};
  std::vector<std::string> Parts;
  boost::split(Parts, Raw.Operators, boost::is_any_of(","));
  for (const std::string &Part : Parts) {
    const auto Address = http::parseAddress(boost::trim_copy(Part));
    if (!Address)
      return failure(errc::BadSettings, "--operators: " + Part);
    Options.Operators.push_back(*Address);
  }
  return {};
}

result<void> readKey(const raw_options &Raw, tool_options &Options) {
  if (Raw.KeyFile.empty())
    return {};
  const auto Text = readFile(Raw.KeyFile);
  if (!Text)
    return Text.error();
  Options.OperatorKey = boost::trim_copy(*Text);
  return {};
}

result<tool_options> parse(const std::vector<std::string> &Words) {
  tool_options Options;
  raw_options Raw;
  options::options_description All;
  All.add(visibleOptions(Options, Raw));
  All.add_options()("words", options::value(&Options.Words));
  options::positional_options_description Positional;
  Positional.add("words", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(Words)
                     .options(All)
                     .positional(Positional)
                     .run(),
                 Values);
  options::notify(Values);
  for (const auto &Read :
       {readConfig(Raw), readAddresses(Raw, Options), readKey(Raw, Options)})
    if (!Read)
      return Read.error();
  return Options;
}

} // namespace

result<tool_options> readOptions(const std::vector<std::string> &Words) {
  try {
    return parse(Words);
  } catch (const options::error &Error) {
    return failure(errc::BadSettings, Error.what());
  }
}

std::string optionsHelp() {
  tool_options Options;
  raw_options Raw;
  std::ostringstream Text;
  Text << visibleOptions(Options, Raw);
  return Text.str();
}

result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    return failure(errc::BadSettings, "file " + Path + " cannot be read");
  return Text.str();
}

} // namespace redwinggw::ctl
