#include "link_setup.hpp"

#include "cold_wait.hpp"

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
  if (Link.Cold && Exchange.Outcome == exchange_outcome::Broken)
    presumeCold(*Link.Cold, base::now());
  return Exchange;
}

base::task<bool> runInternal(pooled_link &Link, std::string Text,
                             base::instant Deadline) {
  const cold_use Use = Link.End ? cold_use::InTransaction : cold_use::Single;
  const bool Allowed = co_await awaitTurn(Link, Use, Deadline);
  if (!Allowed)
    co_return false;
  const exchange Exchange =
      co_await Link.Link->run({}, Text, std::nullopt, Deadline);
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
  exchange Done =
      co_await Link.Link->run(Statement.Id, Text, Statement.After, Deadline);
  co_return noteBroken(Link, std::move(Done));
}

} // namespace redwinggw::session
