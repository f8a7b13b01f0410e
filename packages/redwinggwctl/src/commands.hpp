#pragma once

#include "redwinggw/ctl/tool.hpp"

#include "tool_requests.hpp"

#include <iosfwd>
#include <string_view>

/// The commands of redwinggwctl.
namespace redwinggw::ctl {

/// What a command gets to run.
struct command_context {
  tool_client Client;
  const tool_options &Options;
  /// The arguments after the command's name.
  std::vector<std::string> Operands;
  std::ostream &Out;
  std::ostream &Err;
};

struct command {
  /// One or two words, as typed.
  std::string_view Name;
  /// Names of the operands for --help; those in brackets are optional.
  std::string_view Operands;
  std::size_t MinOperands;
  std::size_t MaxOperands;
  std::string_view Help;
  exit_code (*Run)(command_context &);
};

const std::vector<command> &commands();

/// Prints the error and its remedy. Returns the exit code of that error.
exit_code report(const command_context &Context, const base::failure &Failure);

exit_code checkSheet(command_context &Context);
exit_code diffSheet(command_context &Context);
exit_code submitSheet(command_context &Context);
exit_code showSheet(command_context &Context);
exit_code showHistory(command_context &Context);
exit_code listCustomers(command_context &Context);
exit_code showCustomer(command_context &Context);
exit_code giveKey(command_context &Context);
exit_code withdrawKey(command_context &Context);
exit_code showStatus(command_context &Context);
exit_code showTimeline(command_context &Context);
exit_code showMetrics(command_context &Context);
exit_code drainInstance(command_context &Context);

} // namespace redwinggw::ctl
