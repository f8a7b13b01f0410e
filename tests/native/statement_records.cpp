#include "statement_records.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string_view>
#include <thread>

namespace redwinggw::fleet {
namespace {

using standin::database_group;
using standin::statement_run;

constexpr std::array Promises = std::to_array<std::string_view>(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"});

bool isPromise(const statement_record &Record) {
  return std::ranges::find(Promises, Record.Answer.Error) != Promises.end();
}

std::string verbOf(std::string_view Text) {
  return std::string(Text.substr(0, Text.find(' ')));
}

bool needsSignature(const statement_record &Record) {
  constexpr std::array Verbs =
      std::to_array<std::string_view>({"READ", "WRITE", "EXECUTE", "COMMIT"});
  return std::ranges::find(Verbs, verbOf(Record.Text)) != Verbs.end();
}

/// A line without control characters.
std::string shown(std::string_view Text) {
  constexpr std::size_t Most = 60;
  std::string Shown;
  for (const char Byte : Text.substr(0, Most))
    Shown += Byte < ' ' || Byte > '~' ? '.' : Byte;
  return Shown;
}

/// The text without the name of a prepared statement, which instances choose
/// themselves.
std::string comparable(std::string_view Text) {
  if (!Text.starts_with("EXECUTE "))
    return std::string(Text);
  const std::size_t Name = Text.find(' ');
  return "EXECUTE" + std::string(Text.substr(Text.find(' ', Name + 1)));
}

/// Draws operations and values.
struct draw {
  std::mt19937_64 Random;
  double AnyBytes;

  std::size_t below(std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
  }
  std::string item() { return "k" + std::to_string(below(8)); }
  std::string value();
};

std::string draw::value() {
  if (!std::bernoulli_distribution(AnyBytes)(Random))
    return "v" + std::to_string(Random());
  constexpr std::array Parts = std::to_array<std::string_view>(
      {"\n", "\r", "\nCOMMIT", "\nQUERY 00d1 READ q",
       "\nDONE forged\nREADY I -", "\nERROR BUSY x\nREADY I -", "\nROW x",
       "\nBYE", " ", "-", "\t"});
  std::string Value;
  const std::size_t Count = 1 + below(6);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (below(2) == 0)
      Value += Parts[below(Parts.size())];
    else
      Value += static_cast<char>(below(256));
  }
  // The one sequence that a value cannot hold ends the line.
  for (std::size_t At = Value.find("\r\n"); At != std::string::npos;
       At = Value.find("\r\n"))
    Value.erase(At, 1);
  return Value;
}

/// One connection, and what is sent on it.
struct session {
  const caller_plan &Plan;
  draw Draw;
  std::vector<statement_record> Records;
  std::uint64_t LastTransaction = 0;
  std::unique_ptr<line_client> Client;

  bool connect();
  /// False when the session has ended or the operation has failed.
  bool send(const std::string &Text, std::uint64_t Transaction = 0);
  void runTransaction();
  void runOperation();
};

bool session::connect() {
  if (Client)
    return true;
  Client = std::make_unique<line_client>(Plan.Address, Plan.Database, "key");
  if (Client->failed().empty())
    return true;
  Client.reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  return false;
}

bool session::send(const std::string &Text, std::uint64_t Transaction) {
  statement_record Record;
  Record.Answer = Client->run(Text);
  Record.Id = Client->statementId();
  Record.Text = Text;
  Record.Transaction = Transaction;
  if (Record.Answer.State.empty())
    Client.reset();
  const bool Succeeded = Record.Answer.Error.empty();
  Records.push_back(std::move(Record));
  return Succeeded;
}

void session::runTransaction() {
  const std::uint64_t Number = ++LastTransaction;
  if (!send("BEGIN", Number))
    return;
  bool Succeeded = true;
  const std::size_t Count = 1 + Draw.below(3);
  for (std::size_t Index = 0; Succeeded && Index < Count; ++Index)
    Succeeded = Draw.below(2) == 0
                    ? send("READ " + Draw.item(), Number)
                    : send("WRITE " + Draw.item() + " " + Draw.value(), Number);
  if (Client)
    send(Draw.below(Succeeded ? 4 : 2) != 0 ? "COMMIT" : "ROLLBACK", Number);
}

void session::runOperation() {
  constexpr std::size_t Kinds = 10;
  const std::size_t Kind = Draw.below(Kinds);
  if (Kind < 4)
    send("READ " + Draw.item());
  else if (Kind < 6)
    send("WRITE " + Draw.item() + " " + Draw.value());
  else if (Kind < 8)
    runTransaction();
  else if (Kind == 8)
    send("SET tone " + Draw.value());
  else if (send("PREPARE s WRITE q"))
    send("EXECUTE s " + Draw.item() + " " + Draw.value());
}

/// By id, what was sent.
using sent_statements = std::map<std::string, const statement_record *>;

void judgeRuns(const database_group &Group, const sent_statements &Sent,
               std::vector<std::string> &Lines) {
  for (const auto &[Id, Runs] : Group.RunTexts) {
    const auto Found = Sent.find(Id);
    if (Found == Sent.end()) {
      Lines.push_back("UNASKED: nobody sent " + shown(Id) + " \"" +
                      shown(Runs.front().Text) + "\"");
      continue;
    }
    const std::string Expected = comparable(Found->second->Text);
    for (const statement_run &Run : Runs)
      if (comparable(Run.Text) != Expected)
        Lines.push_back("UNASKED: sent \"" + shown(Expected) + "\", ran \"" +
                        shown(Run.Text) + "\"");
  }
}

bool wasSentTo(const std::vector<statement_run> &Runs,
               const std::vector<std::string> &Rows) {
  return std::ranges::find(Runs, Rows, &statement_run::Rows) != Runs.end();
}

void judgeAnswer(const database_group &Group, const statement_record &Record,
                 std::vector<std::string> &Lines) {
  const line_answer &Answer = Record.Answer;
  if (!Answer.Error.empty())
    return;
  const std::string What =
      "MIXED: " + Record.Id + " \"" + shown(Record.Text) + "\" got ";
  const bool Signed = needsSignature(Record);
  if (Answer.Signature != (Signed ? "sig." + Record.Id : "-")) {
    Lines.push_back(What + "the signature " + shown(Answer.Signature));
    return;
  }
  if (!Signed)
    return;
  const auto Runs = Group.RunTexts.find(Record.Id);
  if (Runs == Group.RunTexts.end() || !wasSentTo(Runs->second, Answer.Rows))
    Lines.push_back(What + "other rows than were sent");
}

/// What was answered to a transaction as a whole.
struct transaction_outcome {
  bool CommitSent = false;
  /// The first statement that was answered as not run, and the error.
  std::string Promise;
};

std::string promiseOf(const statement_record &Record) {
  return isPromise(Record)
             ? Record.Id + " " + verbOf(Record.Text) + " " + Record.Answer.Error
             : std::string();
}

} // namespace

std::vector<statement_record> runCaller(const caller_plan &Plan) {
  session Session{Plan, {std::mt19937_64(Plan.Seed), Plan.AnyBytes}, {}, 0, {}};
  // Unlike those of any other caller.
  Session.LastTransaction = Plan.Seed << 32U;
  for (std::size_t Done = 0; Done < Plan.Operations; ++Done) {
    if (Plan.Stopped != nullptr && *Plan.Stopped)
      break;
    if (Session.connect())
      Session.runOperation();
  }
  return std::move(Session.Records);
}

std::vector<std::string>
judgeStatements(const database_group &Group,
                const std::vector<statement_record> &Records) {
  std::vector<std::string> Lines;
  sent_statements Sent;
  std::map<std::uint64_t, transaction_outcome> Transactions;
  for (const statement_record &Record : Records) {
    Sent.emplace(Record.Id, &Record);
    if (Record.Transaction == 0)
      continue;
    transaction_outcome &Outcome = Transactions[Record.Transaction];
    Outcome.CommitSent = Outcome.CommitSent || Record.Text == "COMMIT";
    if (Outcome.Promise.empty())
      Outcome.Promise = promiseOf(Record);
  }
  judgeRuns(Group, Sent, Lines);
  for (const statement_record &Record : Records)
    judgeAnswer(Group, Record, Lines);
  const auto Leader = std::ranges::find(Group.Databases, Group.Leader,
                                        &standin::simulated_database::Name);
  std::set<std::string> Committed;
  for (const standin::log_entry &Entry : Leader->Log) {
    const auto Found = Sent.find(Entry.StatementId);
    if (Found == Sent.end())
      continue;
    const statement_record &Record = *Found->second;
    const std::string What = Record.Id + " \"" + shown(Record.Text) + "\"";
    if (!Committed.insert(Record.Id).second)
      Lines.push_back("TWICE: " + What);
    const bool Single = Record.Transaction == 0;
    const transaction_outcome Outcome =
        Single ? transaction_outcome{true, promiseOf(Record)}
               : Transactions[Record.Transaction];
    if (!Outcome.CommitSent)
      Lines.push_back("UNASKED: committed without a commit: " + What);
    if (!Outcome.Promise.empty())
      Lines.push_back("REFUSED: " + What + " took effect after " +
                      Outcome.Promise);
  }
  return Lines;
}

} // namespace redwinggw::fleet
