#include "redwinggw/ctl/tool.hpp"

#include "commands.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <ostream>

namespace redwinggw::ctl {
namespace {

using base::errc;
using base::failure;

/// Exit codes of failures; all others exit with exit_code::Refused.
struct exit_row {
  errc Kind;
  exit_code Code;
};

constexpr std::array ExitCodes = std::to_array<exit_row>({
    {errc::BadSettings, exit_code::Usage},
    {errc::InstanceUnreachable, exit_code::Unreachable},
    {errc::StoreUnreachable, exit_code::Unreachable},
    {errc::OutcomeUnknown, exit_code::OutcomeUnknown},
    {errc::TruncatedAnswer, exit_code::OutcomeUnknown},
    {errc::Internal, exit_code::OutcomeUnknown},
});

exit_code exitCodeOf(const failure &Failure) {
  const auto *Row =
      std::ranges::find(ExitCodes, kindOf(Failure), &exit_row::Kind);
  return Row == ExitCodes.end() ? exit_code::Refused : Row->Code;
}

void printHelp(std::ostream &Out) {
  Out << "redwinggwctl [options] COMMAND\n\nCommands\n";
  for (const command &Command : commands())
    Out << "  " << Command.Name << (Command.Operands.empty() ? "" : " ")
        << Command.Operands << "\n      " << Command.Help << "\n";
  Out << "\n"
      << optionsHelp()
      << "\nExit codes: 0 done, 1 refused, 2 usage error, 3 unreachable, "
         "4 outcome unknown\n";
}

std::string firstWords(const std::vector<std::string> &Words,
                       std::size_t Count) {
  std::string Name;
  for (std::size_t Index = 0; Index < std::min(Count, Words.size()); ++Index)
    Name.append(Name.empty() ? "" : " ").append(Words[Index]);
  return Name;
}

std::size_t wordsIn(std::string_view Name) {
  return 1 + static_cast<std::size_t>(std::ranges::count(Name, ' '));
}

const command *findCommand(const std::vector<std::string> &Words) {
  const auto Found =
      std::ranges::find_if(commands(), [&](const command &Command) {
        return firstWords(Words, wordsIn(Command.Name)) == Command.Name;
      });
  return Found == commands().end() ? nullptr : &*Found;
}

exit_code usage(std::ostream &Err, const std::string &Problem) {
  Err << "redwinggwctl: " << Problem
      << "; see `redwinggwctl --help` for commands and options\n";
  return exit_code::Usage;
}

} // namespace

const std::vector<command> &commands() {
  static const std::vector<command> Commands{
      {"sheet check", "FILE", 1, 1, "validates the sheet; contacts no instance",
       checkSheet},
      {"sheet diff", "FILE", 1, 1, "shows what the sheet changes", diffSheet},
      {"sheet submit", "FILE", 1, 1, "puts the sheet in force", submitSheet},
      {"sheet show", "[VERSION]", 0, 1,
       "the sheet in force, or an earlier version", showSheet},
      {"sheet history", "[COUNT]", 0, 1, "accepted versions, newest first",
       showHistory},
      {"customer list", "", 0, 0, "all customers with their key ids",
       listCustomers},
      {"customer show", "NAME", 1, 1, "one customer", showCustomer},
      {"key give", "CUSTOMER", 1, 1, "creates a key and shows it once",
       giveKey},
      {"key withdraw", "ID", 1, 1, "revokes a key", withdrawKey},
      {"status", "", 0, 0, "instances, versions, groups, connections, queues",
       showStatus},
      {"timeline", "[--request ID] [--chrome]", 0, 0,
       "events of all instances in causal order", showTimeline},
      {"metrics", "", 0, 0, "metrics in the text format of Prometheus",
       showMetrics},
      {"drain", "", 0, 0, "stops the one named instance gracefully",
       drainInstance},
  };
  return Commands;
}

exit_code report(const command_context &Context, const failure &Failure) {
  const base::error_kind &Kind = base::kindOf(kindOf(Failure));
  if (Context.Options.Json)
    Context.Out << boost::json::object{{"error", Kind.Name},
                                       {"detail", Failure.Detail},
                                       {"remedy", Kind.Remedy}}
                << "\n";
  Context.Err << "redwinggwctl: " << base::describe(Failure) << "\n";
  return exitCodeOf(Failure);
}

exit_code runTool(const std::vector<std::string> &Arguments,
                  const exchange_port &Exchange, std::ostream &Out,
                  std::ostream &Err) {
  const auto Options = readOptions(Arguments);
  if (!Options)
    return usage(Err, Options.error().Detail);
  if (Options->ShowHelp) {
    printHelp(Out);
    return exit_code::Ok;
  }
  if (Options->ShowVersion) {
    Out << "redwinggwctl " REDWINGGW_VERSION "\n";
    return exit_code::Ok;
  }
  const command *Command = findCommand(Options->Words);
  if (Command == nullptr)
    return usage(Err,
                 "there is no command '" + firstWords(Options->Words, 2) + "'");
  const auto FirstOperand = Options->Words.begin() +
                            static_cast<std::ptrdiff_t>(wordsIn(Command->Name));
  command_context Context{{Exchange, *Options},
                          *Options,
                          {FirstOperand, Options->Words.end()},
                          Out,
                          Err};
  const std::size_t Operands = Context.Operands.size();
  if (Operands < Command->MinOperands || Operands > Command->MaxOperands)
    return usage(Err, "usage: " + std::string(Command->Name) + " " +
                          std::string(Command->Operands));
  try {
    return Command->Run(Context);
  } catch (const std::exception &Error) {
    // The answer lacks a member that it must have.
    return report(Context, failure(errc::TruncatedAnswer, Error.what()));
  }
}

} // namespace redwinggw::ctl
