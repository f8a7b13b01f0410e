#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/http/address.hpp"

#include <string>
#include <vector>

/// The command line of redwinggwctl.
namespace redwinggw::ctl {

struct tool_options {
  /// The command and its operands.
  std::vector<std::string> Words;
  std::vector<http::address> Operators;
  std::string OperatorKey;
  /// Limits the time line to the events of this request id unless empty.
  std::string RequestId;
  bool Json = false;
  bool Chrome = false;
  bool ShowVersion = false;
  bool ShowHelp = false;
};

/// Parses the command line. Fails with errc::BadSettings, whose detail names
/// the option.
base::result<tool_options> readOptions(const std::vector<std::string> &Words);

/// Description of the options for --help.
std::string optionsHelp();

/// Reads a whole file. Fails with errc::BadSettings.
base::result<std::string> readFile(const std::string &Path);

} // namespace redwinggw::ctl
