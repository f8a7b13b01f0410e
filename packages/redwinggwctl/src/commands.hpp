#pragma once

#include "redwinggw/ctl/tool.hpp"

#include "tool_requests.hpp"

#include <iosfwd>
#include <string_view>

/// The commands of redwinggwctl.
namespace redwinggw::ctl {

/// What a command works with.
struct command_context {
  tool_client Client;
  const tool_options &Options;
  /// The words after the command.
  std::vector<std::string> Operands;
  std::ostream &Out;
  std::ostream &Err;
};

/// One command.
struct command {
  /// One or two words.
  std::string_view Name;
  /// Names of operands for the help; those in brackets may be left out.
  std::string_view Operands;
  std::size_t MinOperands;
  std::size_t MaxOperands;
  std::string_view Help;
  exit_code (*Run)(command_context &);
};

/// All commands.
const std::vector<command> &commands();

/// Says what went wrong and what to do; the exit code that goes with it.
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
