#include "link_setup.hpp"

#include "cold_wait.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/log.hpp"

#include <array>

namespace redwinggw::session {
namespace {

bool isDone(const exchange &Exchange) {
  return Exchange.Outcome == exchange_outcome::Answered &&
         !Exchange.Answer.Error;
}

/// What a request on \p Link is for. Of the callers' statements only a commit
/// leaves the session values as they are.
cold_use useOf(const pooled_link &Link, const link_statement &Statement) {
  switch (Statement.Action) {
  case link_action::Begin:
  case link_action::BeginReadOnly:
    return cold_use::Begin;
  case link_action::Rollback:
    return cold_use::End;
  case link_action::Caller:
    break;
  }
  if (!Link.End)
    return cold_use::Single;
  return Statement.Values ? cold_use::InTransaction : cold_use::End;
}

expected_answer expectedAnswer(const pooled_link &Link,
                               const link_statement &Statement) {
  switch (Statement.Action) {
  case link_action::Begin:
  case link_action::BeginReadOnly:
    return {false, transaction_state::Open};
  case link_action::Rollback:
    return {false, transaction_state::Idle};
  case link_action::Caller:
    break;
  }
  const bool Commits = !Statement.Values;
  return {true, Commits ? transaction_state::Idle : Link.State};
}

/// Waits until a request may be sent to an endpoint that may be cold. After
/// true it must be sent at once.
base::task<bool> awaitTurn(pooled_link &Link, cold_use Use,
                           base::instant Deadline) {
  if (!Link.Cold)
    co_return true;
  if (Use == cold_use::End && Link.End.spend(base::now()))
    co_return true;
  const token Token = co_await awaitToken(Link.Cold, Use, Deadline);
  if (Token == token::Taken && Use == cold_use::Begin)
    Link.End = end_reserve(Link.Cold);
  co_return Token != token::None;
}

/// A connection that broke may be the first sign of a restart.
exchange noteBroken(const pooled_link &Link, exchange Exchange) {
  const bool Ended = Exchange.Fault == answer_fault::None ||
                     Exchange.Fault == answer_fault::Incomplete;
  if (Link.Cold && Exchange.Outcome == exchange_outcome::Broken && Ended)
    presumeCold(*Link.Cold, base::now());
  return Exchange;
}

constexpr std::array MatchNames = std::to_array<base::enum_name<answer_match>>({
    {answer_match::Matched, "matched"},
    {answer_match::Duplicate, "duplicate"},
    {answer_match::Ambiguous, "ambiguous"},
    {answer_match::Mismatched, "mismatched"},
});

/// What the endpoint is to be sent, as its answer depends on it.
struct outgoing {
  std::string_view Id;
  std::string_view Text;
  std::optional<log_point> After;
  expected_answer Expected;
};

/// Logs an answer that is not the statement's own. The connection is not used
/// again, so that its set-up limits the lines.
void logUnmatched(const pooled_link &Link, const outgoing &Sent,
                  answer_match Match, const answer &Answer) {
  const auto &Error = Answer.Error;
  base::logEvent(
      base::log_level::Warning, base::log_part::Endpoints, "answer_not_own",
      {{"request", std::string(Sent.Id)},
       {"customer", Link.Customer},
       {"match", std::string(base::nameOf(MatchNames, Match))},
       {"answer", Error ? std::string(answerCodeName(Error->Code)) : "done"}});
}

/// An error that promises nothing, after which the connection is closed.
answer inDoubt() {
  answer Answer;
  Answer.Error =
      answer_error{answer_code::InDoubt,
                   "an error that may be the answer to an earlier statement"};
  Answer.State = transaction_state::Failed;
  return Answer;
}

bool isLag(const answer &Answer) {
  return Answer.Error && Answer.Error->Code == answer_code::Lagging;
}

/// Runs a statement and finds its answer among those that come.
base::task<exchange> exchangeOn(pooled_link &Link, outgoing Sent,
                                base::instant Deadline) {
  exchange Done =
      co_await Link.Link->run(Sent.Id, Sent.Text, Sent.After, Deadline);
  const base::instant SentAt = Done.SentAt;
  while (Done.Outcome == exchange_outcome::Answered) {
    const answer_match Match =
        matchAnswer(Link.Answers, Sent.Expected, Done.Answer);
    rememberAnswer(Link.Answers, Done.Answer, Match);
    if (Match == answer_match::Matched)
      Link.State = Done.Answer.State;
    else
      logUnmatched(Link, Sent, Match, Done.Answer);
    // The lag of a replica is retried, whichever statement it was for.
    const bool Retried = Sent.After && isLag(Done.Answer);
    if (Match == answer_match::Ambiguous && !Retried)
      Done.Answer = inDoubt();
    // An earlier answer's position is older than the statement.
    if (Match == answer_match::Matched && Link.Answers.Doubtful)
      Done.Answer.Point.reset();
    if (Match == answer_match::Mismatched) {
      Done.Outcome = exchange_outcome::Broken;
      Done.Fault = answer_fault::Mismatched;
    }
    if (Match != answer_match::Duplicate)
      break;
    Done = co_await Link.Link->readOn(Deadline);
  }
  Done.SentAt = SentAt;
  co_return Done;
}

base::task<bool> runInternal(pooled_link &Link, std::string Text,
                             base::instant Deadline) {
  const cold_use Use = Link.End ? cold_use::InTransaction : cold_use::Single;
  const bool Allowed = co_await awaitTurn(Link, Use, Deadline);
  if (!Allowed)
    co_return false;
  const outgoing Sent{{}, Text, std::nullopt, {false, Link.State}};
  const exchange Exchange = co_await exchangeOn(Link, Sent, Deadline);
  co_return isDone(Exchange);
}

base::task<bool> reset(pooled_link &Link, base::instant Deadline) {
  Link.ValuesKnown = false;
  Link.Values.clear();
  Link.Prepared.clear();
  const bool Done =
      co_await runInternal(Link, Link.Link->resetText(), Deadline);
  Link.ValuesKnown = Done;
  co_return Done;
}

/// The name under which \p Operand is prepared on \p Link, preparing it when
/// needed. Empty when the connection can no longer be used.
base::task<std::string> prepareStatement(pooled_link &Link,
                                         std::string_view Operand,
                                         base::instant Deadline) {
  if (const auto Found = Link.Prepared.find(Operand);
      Found != Link.Prepared.end())
    co_return Found->second;
  std::string Name = "p" + std::to_string(Link.Prepared.size() + 1);
  std::string Text = Link.Link->prepareText(Name, Operand);
  const bool Done = co_await runInternal(Link, std::move(Text), Deadline);
  if (!Done)
    co_return std::string();
  Link.Prepared.emplace(Operand, Name);
  co_return Name;
}

/// The text to send; empty when the connection can no longer be used.
base::task<std::string> textOf(pooled_link &Link,
                               const link_statement &Statement,
                               base::instant Deadline) {
  switch (Statement.Action) {
  case link_action::Begin:
    co_return Link.Link->beginText(false);
  case link_action::BeginReadOnly:
    co_return Link.Link->beginText(true);
  case link_action::Rollback:
    co_return Link.Link->rollbackText();
  case link_action::Caller:
    break;
  }
  if (Statement.Prepared.empty())
    co_return Statement.Text;
  const std::string Name =
      co_await prepareStatement(Link, Statement.Prepared, Deadline);
  if (Name.empty())
    co_return std::string();
  co_return Link.Link->executeText(Name, Statement.Arguments);
}

} // namespace

base::task<bool> prepareLink(pooled_link &Link, const session_values &Wanted,
                             base::instant Deadline) {
  if (Link.Forwarding)
    co_return true;
  if (Link.ValuesKnown && Link.Values == Wanted)
    co_return true;
  const bool Settable =
      Link.ValuesKnown && reachableBySetting(Link.Values, Wanted);
  if (!Settable) {
    const bool Done = co_await reset(Link, Deadline);
    if (!Done)
      co_return false;
  }
  for (const auto &[Name, Value] : Wanted) {
    const auto Present = Link.Values.find(Name);
    if (Present != Link.Values.end() && Present->second == Value)
      continue;
    std::string Text = Link.Link->setText(Name, Value);
    const bool Done = co_await runInternal(Link, std::move(Text), Deadline);
    if (!Done) {
      Link.ValuesKnown = false;
      co_return false;
    }
    Link.Values.insert_or_assign(Name, Value);
  }
  co_return true;
}

bool isDoubtfulBegin(const pooled_link &Link, const link_statement &Statement,
                     const exchange &Done) {
  const bool Begins = Statement.Action == link_action::Begin ||
                      Statement.Action == link_action::BeginReadOnly;
  return Begins && isDone(Done) && Link.Answers.Doubtful;
}

base::task<exchange> runOnLink(pooled_link &Link,
                               const link_statement &Statement,
                               const lease_check &StillHolds,
                               base::instant Deadline) {
  exchange NotRun;
  if (Statement.Values) {
    const bool Ready = co_await prepareLink(Link, *Statement.Values, Deadline);
    if (!Ready)
      co_return NotRun;
  }
  const std::string Text = co_await textOf(Link, Statement, Deadline);
  if (Text.empty())
    co_return NotRun;
  const bool Allowed =
      co_await awaitTurn(Link, useOf(Link, Statement), Deadline);
  if (!Allowed)
    co_return NotRun;
  if (Statement.PrimaryLease && !StillHolds(*Statement.PrimaryLease))
    co_return NotRun;
  const outgoing Sent{Statement.Id, Text, Statement.After,
                      expectedAnswer(Link, Statement)};
  exchange Done = co_await exchangeOn(Link, Sent, Deadline);
  Link.Refused =
      Link.Refused || (Statement.PrimaryLease && Done.Answer.Error.has_value());
  co_return noteBroken(Link, std::move(Done));
}

} // namespace redwinggw::session
