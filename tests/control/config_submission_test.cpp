#include "redwinggw/control/config_submission.hpp"

#include "redwinggw/control/sheet.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;

namespace {

/// An in-memory table service.
struct table {
  std::map<std::string, storage::row> Rows;
  std::uint64_t LastVersion = 0;
  /// If false, commits ignore their conditions. The race test uses this to show
  /// that the conditions are necessary.
  bool ChecksConditions = true;
};

bool commitTo(table &Table, const storage::commit_request &Request) {
  const bool Holds =
      std::ranges::all_of(Request.Checks, [&](const storage::check &Check) {
        const auto Found = Table.Rows.find(Check.Key);
        return Check.Version ==
               (Found == Table.Rows.end() ? 0 : Found->second.Version);
      });
  if (!Holds && Table.ChecksConditions)
    return false;
  for (const storage::put &Put : Request.Puts)
    Table.Rows[Put.Key] = {Put.Key, ++Table.LastVersion, Put.Value};
  for (const std::string &Key : Request.Deletes)
    Table.Rows.erase(Key);
  return true;
}

config_state stateFor(table &Table, const submission &Submission) {
  config_state State;
  State.Head = headOf(Table.Rows[HeadKey]).value();
  for (const auto Version : sheetsToRead(Submission, State.Head))
    if (auto Sheet = sheetOf(Table.Rows[sheetKey(Version)]).value())
      State.Sheets.push_back(std::move(*Sheet));
  return State;
}

configuration withCustomers(base::config_version MadeFrom,
                            const std::vector<std::string> &Names) {
  configuration Configuration;
  Configuration.Version = MadeFrom;
  for (const std::string &Name : Names)
    Configuration.Customers.push_back({Name, 1, 1});
  return Configuration;
}

/// Runs a request whose commits are answered at once.
submission_action finish(table &Table, submission &Submission) {
  while (true) {
    auto Action = onState(Submission, stateFor(Table, Submission), 0);
    const auto *Commit = std::get_if<config_commit>(&Action);
    if (Commit == nullptr)
      return Action;
    const bool Took = commitTo(Table, Commit->Request);
    Action = onCommitAnswer(Submission, Took ? commit_answer::Accepted
                                             : commit_answer::Conflict);
    if (!std::holds_alternative<read_config>(Action))
      return Action;
  }
}

submission_action submitSheet(table &Table, const configuration &Sheet,
                              const std::string &Id) {
  submission Submission(Sheet, Id);
  return finish(Table, Submission);
}

/// What may happen to one commit in transit.
enum class delivery { Answered, AnswerLost, RequestLost, Late };

/// One operator in the race.
struct racer {
  submission Submission;
  submission_action Next = read_config{};
  /// A commit that is still in transit.
  std::optional<storage::commit_request> InFlight;
  unsigned Faults = 1;

  explicit racer(config_request Request, std::string Id)
      : Submission(std::move(Request), std::move(Id)) {}
};

/// The whole state of a race; copied at each branch of the search.
struct race {
  table Table;
  std::vector<racer> Racers;
  unsigned Accepts = 0;
};

bool isOver(const racer &Racer) {
  return std::holds_alternative<config_accepted>(Racer.Next) ||
         std::holds_alternative<config_refused>(Racer.Next);
}

void deliver(race &Race, racer &Racer) {
  const auto Request = std::exchange(Racer.InFlight, std::nullopt);
  Race.Accepts += Request && commitTo(Race.Table, *Request) ? 1 : 0;
}

/// One step of \p Racer; a commit meets \p Fate.
void step(race &Race, racer &Racer, delivery Delivery) {
  const auto *Commit = std::get_if<config_commit>(&Racer.Next);
  if (Commit == nullptr) {
    Racer.Next =
        onState(Racer.Submission, stateFor(Race.Table, Racer.Submission), 0);
    return;
  }
  const storage::commit_request Request = Commit->Request;
  auto Answer = commit_answer::Unknown;
  if (Delivery == delivery::Late)
    Racer.InFlight = Request;
  if (Delivery == delivery::Answered || Delivery == delivery::AnswerLost) {
    const bool Took = commitTo(Race.Table, Request);
    Race.Accepts += Took ? 1 : 0;
    if (Delivery == delivery::Answered)
      Answer = Took ? commit_answer::Accepted : commit_answer::Conflict;
  }
  Racer.Next = onCommitAnswer(Racer.Submission, Answer);
}

/// Calls \p Check at the end of each run that can follow from \p Race, until it
/// returns false.
template <typename Callback> bool explore(const race &Race, Callback Check) {
  bool Ended = true;
  for (std::size_t Index = 0; Index < Race.Racers.size(); ++Index) {
    const racer &Racer = Race.Racers[Index];
    if (Racer.InFlight) {
      race Next = Race;
      deliver(Next, Next.Racers[Index]);
      if (!explore(Next, Check))
        return false;
      Ended = false;
    }
    if (isOver(Racer))
      continue;
    Ended = false;
    const bool Commits = std::holds_alternative<config_commit>(Racer.Next);
    for (const delivery Delivery : {delivery::Answered, delivery::AnswerLost,
                                    delivery::RequestLost, delivery::Late}) {
      const bool Faulty = Delivery != delivery::Answered;
      if (Faulty && (!Commits || Racer.Faults == 0))
        continue;
      race Next = Race;
      Next.Racers[Index].Faults -= Faulty ? 1 : 0;
      step(Next, Next.Racers[Index], Delivery);
      if (!explore(Next, Check))
        return false;
    }
  }
  return !Ended || Check(Race);
}

bool hasCustomer(table &Table, const std::string &Name) {
  submission Reader(configuration{}, "reader");
  const config_state State = stateFor(Table, Reader);
  const auto Head = std::ranges::find(State.Sheets, State.Head.Version,
                                      &accepted_sheet::Version);
  return findCustomer(configurationOf(*Head).value(), Name) != nullptr;
}

bool hasKey(table &Table, const std::string &Id) {
  submission Reader(configuration{}, "reader");
  const config_state State = stateFor(Table, Reader);
  const auto Head = std::ranges::find(State.Sheets, State.Head.Version,
                                      &accepted_sheet::Version);
  const configuration InForce = configurationOf(*Head).value();
  return std::ranges::find(InForce.Keys, Id, &customer_key::Id) !=
         InForce.Keys.end();
}

/// True when every possible end of a race of two sheets made from the same
/// version is correct.
bool allEndsRight(bool ChecksConditions, unsigned &Ends) {
  race Race;
  submitSheet(Race.Table, withCustomers(0, {"a"}), "first");
  Race.Table.ChecksConditions = ChecksConditions;
  Race.Racers.emplace_back(withCustomers(1, {"a", "b"}), "left");
  Race.Racers.emplace_back(withCustomers(1, {"a", "c"}), "right");
  return explore(Race, [&](race End) {
    ++Ends;
    const auto Accepted =
        std::ranges::count_if(End.Racers, [](const racer &Racer) {
          return std::holds_alternative<config_accepted>(Racer.Next);
        });
    const bool Left =
        std::holds_alternative<config_accepted>(End.Racers.front().Next);
    return Accepted == 1 && End.Accepts == 1 &&
           hasCustomer(End.Table, Left ? "b" : "c") &&
           !hasCustomer(End.Table, Left ? "c" : "b");
  });
}

} // namespace

// Guards against two operators who submit sheets made from the same version and
// both see "accepted", while one sheet is lost. Both read the head before
// either writes, and answers are lost, so one repeats a commit that has taken
// effect.
Test(config_submission, of_two_racing_sheets_one_wins_whatever_is_lost) {
  unsigned Ends = 0;
  cr_assert(allEndsRight(true, Ends));
  cr_assert(Ends > 1000);
  cr_assert(!allEndsRight(false, Ends));
}

// An operator withdraws a key while another adds one. Guards against a
// withdrawal that is reported as accepted although the key still works, because
// the addition was based on the version before and put the key back.
Test(config_submission, racing_key_changes_both_take_effect) {
  race Race;
  submitSheet(Race.Table, withCustomers(0, {"a"}), "first");
  submission Addition(key_addition{{"old", "a", std::string(64, '1')}}, "gift");
  finish(Race.Table, Addition);
  Race.Racers.emplace_back(key_withdrawal{"old"}, "withdrawal");
  Race.Racers.emplace_back(key_addition{{"new", "a", std::string(64, '2')}},
                           "second gift");
  explore(Race, [](race End) {
    cr_assert(End.Accepts == 2);
    cr_assert(!hasKey(End.Table, "old"));
    cr_assert(hasKey(End.Table, "new"));
    return true;
  });
}

// The answer to a submission was lost, and another operator has made further
// changes since. Submitting the same sheet again must not report a conflict.
Test(config_submission, a_repeated_sheet_is_recognised_after_later_changes) {
  table Table;
  submitSheet(Table, withCustomers(0, {"a"}), "first");
  submitSheet(Table, withCustomers(1, {"a", "b"}), "second");
  const auto Action = submitSheet(Table, withCustomers(0, {"a"}), "again");
  const auto *Accepted = std::get_if<config_accepted>(&Action);
  cr_assert(Accepted != nullptr);
  cr_assert(Accepted->Version == 1);
  cr_assert(Accepted->AlreadyAccepted);
}

Test(config_submission, a_refusal_names_what_changed_since) {
  table Table;
  submitSheet(Table, withCustomers(0, {"a", "b"}), "first");
  submitSheet(Table, withCustomers(1, {"b", "c"}), "second");
  const auto Action = submitSheet(Table, withCustomers(1, {"b"}), "late");
  const auto *Refused = std::get_if<config_refused>(&Action);
  cr_assert(Refused != nullptr);
  cr_assert(kindOf(Refused->Failure) == base::errc::Conflict);
  const std::vector<config_change> Expected{
      {config_row_kind::Customer, "a", change_kind::Removed},
      {config_row_kind::Customer, "c", change_kind::Added}};
  cr_assert(Refused->ChangesSince == Expected);
  cr_assert(Refused->Failure.Detail.find("customer a removed") !=
            std::string::npos);
}

Test(config_submission, requests_about_unknown_things_are_refused) {
  table Table;
  submitSheet(Table, withCustomers(0, {"a"}), "first");
  const std::vector<std::pair<config_request, base::errc>> Cases{
      {withCustomers(9, {"a"}), base::errc::BadSheet},
      {key_addition{{"k", "nobody", std::string(64, '1')}},
       base::errc::NotFound},
      {key_withdrawal{"k"}, base::errc::NotFound},
  };
  for (const auto &[Request, Kind] : Cases) {
    submission Submission(Request, "id");
    const auto Action = finish(Table, Submission);
    cr_assert(kindOf(std::get<config_refused>(Action).Failure) == Kind);
  }
}

Test(config_submission, giving_up_says_whether_anything_may_have_changed) {
  table Table;
  submission Submission(withCustomers(0, {"a"}), "id");
  cr_assert(kindOf(failureOnTimeout(Submission)) ==
            base::errc::StoreUnreachable);
  onState(Submission, stateFor(Table, Submission), 0);
  cr_assert(kindOf(failureOnTimeout(Submission)) == base::errc::OutcomeUnknown);
}

Test(config_submission, old_sheets_leave_the_store) {
  table Table;
  for (base::config_version Version = 0; Version < HistoryKept + 2; ++Version)
    submitSheet(Table, withCustomers(Version, {"a"}), std::to_string(Version));
  cr_assert(Table.Rows.size() == HistoryKept + 1);
}
