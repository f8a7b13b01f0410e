#include "redwinggw/control/config_submission.hpp"

#include "redwinggw/base/digest.hpp"
#include "redwinggw/control/sheet.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

using base::errc;
using base::failure;
using base::result;

const accepted_sheet *sheetAt(const config_state &State,
                              base::config_version Version) {
  const auto Found =
      std::ranges::find(State.Sheets, Version, &accepted_sheet::Version);
  return Found == State.Sheets.end() ? nullptr : &*Found;
}

/// The configuration of \p Version; version 0 is the empty one.
result<configuration> configurationAt(const config_state &State,
                                      base::config_version Version) {
  if (Version == 0)
    return configuration{};
  const accepted_sheet *Sheet = sheetAt(State, Version);
  if (Sheet == nullptr)
    return failure(errc::NotFound,
                   "the sheet of version " + std::to_string(Version));
  return configurationOf(*Sheet);
}

config_refused refused(errc Kind, std::string Detail) {
  return {failure(Kind, std::move(Detail)), {}};
}

config_commit commitOf(const config_state &State,
                       const configuration &Configuration,
                       const std::string &Submission, std::int64_t WallNow) {
  config_commit Commit;
  accepted_sheet &Sheet = Commit.Sheet;
  Sheet.Version = State.Head.Version + 1;
  Sheet.Submission = Submission;
  Sheet.Text = renderSheet(Configuration);
  Sheet.Digest = base::sha256Hex(Sheet.Text);
  Sheet.AcceptedAt = WallNow;
  const config_head Head{Sheet.Version, Submission, 0};
  Commit.Request.Checks.push_back({HeadKey, State.Head.RowVersion});
  Commit.Request.Puts.push_back({HeadKey, encode(Head)});
  Commit.Request.Puts.push_back({sheetKey(Sheet.Version), encode(Sheet)});
  if (Sheet.Version > HistoryKept)
    Commit.Request.Deletes.push_back(sheetKey(Sheet.Version - HistoryKept));
  return Commit;
}

config_refused conflict(const config_state &State,
                        const configuration &Submitted) {
  const auto Old = configurationAt(State, Submitted.Version);
  const auto Current = configurationAt(State, State.Head.Version);
  config_refused Refused;
  std::string Detail =
      "the sheet was made from version " + std::to_string(Submitted.Version) +
      ", in force is version " + std::to_string(State.Head.Version);
  if (Old && Current) {
    Refused.ChangesSince = changesBetween(*Old, *Current);
    Detail += "; changed since: " + describe(Refused.ChangesSince);
  }
  Refused.Failure = failure(errc::Conflict, std::move(Detail));
  return Refused;
}

config_plan planSheet(const config_state &State, const configuration &Submitted,
                      const std::string &Submission, std::int64_t WallNow) {
  const base::config_version MadeFrom = Submitted.Version;
  if (MadeFrom == State.Head.Version)
    return commitOf(State, Submitted, Submission, WallNow);
  if (MadeFrom > State.Head.Version)
    return refused(errc::BadSheet, "it says that it was made from version " +
                                       std::to_string(MadeFrom) +
                                       ", but the newest is " +
                                       std::to_string(State.Head.Version));
  // Guards against reporting a conflict to an operator who submits a sheet
  // again because the answer was lost: only the version after MadeFrom can hold
  // this sheet, and its digest covers all of it.
  const accepted_sheet *Next = sheetAt(State, MadeFrom + 1);
  const std::string Digest = base::sha256Hex(renderSheet(Submitted));
  if (Next != nullptr && Next->Digest == Digest)
    return config_accepted{Next->Version, true};
  return conflict(State, Submitted);
}

result<configuration> changed(configuration Current,
                              const key_addition &Addition) {
  const std::string &Customer = Addition.Key.Customer;
  if (findCustomer(Current, Customer) == nullptr)
    return failure(errc::NotFound, "customer " + Customer);
  Current.Keys.push_back(Addition.Key);
  std::ranges::sort(Current.Keys, {}, &customer_key::Id);
  return Current;
}

result<configuration> changed(configuration Current,
                              const key_withdrawal &Withdrawal) {
  const auto Erased = std::erase_if(Current.Keys, [&](const customer_key &Key) {
    return Key.Id == Withdrawal.KeyId;
  });
  if (Erased == 0)
    return failure(errc::NotFound,
                   "key " + Withdrawal.KeyId + " is not in version " +
                       std::to_string(Current.Version) +
                       ": it was withdrawn already or never given");
  return Current;
}

template <typename Change>
config_plan planChange(const config_state &State, const Change &Wanted,
                       const std::string &Submission, std::int64_t WallNow) {
  auto Current = configurationAt(State, State.Head.Version);
  if (!Current)
    return config_refused{Current.error(), {}};
  const auto Next = changed(std::move(*Current), Wanted);
  if (!Next)
    return config_refused{Next.error(), {}};
  return commitOf(State, *Next, Submission, WallNow);
}

/// Converts a plan into an action and stores the commit that is to be sent.
submission_action actionOf(submission &Submission, config_plan Plan) {
  if (auto *Commit = std::get_if<config_commit>(&Plan)) {
    Submission.Sent = *Commit;
    return std::move(*Commit);
  }
  if (auto *Accepted = std::get_if<config_accepted>(&Plan))
    return *Accepted;
  return std::get<config_refused>(std::move(Plan));
}

} // namespace

config_plan planSubmission(const config_state &State,
                           const config_request &Request,
                           const std::string &Submission,
                           std::int64_t WallNow) {
  if (const auto *Sheet = std::get_if<configuration>(&Request))
    return planSheet(State, *Sheet, Submission, WallNow);
  if (const auto *Addition = std::get_if<key_addition>(&Request))
    return planChange(State, *Addition, Submission, WallNow);
  return planChange(State, std::get<key_withdrawal>(Request), Submission,
                    WallNow);
}

lost_commit_outcome resolveLostAnswer(const config_state &State,
                                      const config_commit &Commit) {
  const accepted_sheet &Own = Commit.Sheet;
  if (State.Head.Version < Own.Version)
    return lost_commit_outcome::Pending;
  const accepted_sheet *Stored = sheetAt(State, Own.Version);
  if (Stored == nullptr)
    return lost_commit_outcome::TooOld;
  // Guards against mistaking another operator's sheet for our own: the id is
  // random and written in the same commit as the version.
  return Stored->Submission == Own.Submission ? lost_commit_outcome::Accepted
                                              : lost_commit_outcome::Superseded;
}

std::vector<base::config_version> sheetsToRead(const submission &Submission,
                                               const config_head &Head) {
  std::vector<base::config_version> Versions{Head.Version};
  if (const auto *Sheet = std::get_if<configuration>(&Submission.Request)) {
    Versions.push_back(Sheet->Version);
    Versions.push_back(Sheet->Version + 1);
  }
  if (Submission.Sent)
    Versions.push_back(Submission.Sent->Sheet.Version);
  std::erase(Versions, 0U);
  std::ranges::sort(Versions);
  const auto Repeats = std::ranges::unique(Versions);
  Versions.erase(Repeats.begin(), Repeats.end());
  return Versions;
}

submission_action onState(submission &Submission, const config_state &State,
                          std::int64_t WallNow) {
  if (!Submission.Sent)
    return actionOf(Submission, planSubmission(State, Submission.Request,
                                               Submission.Id, WallNow));
  const config_commit &Sent = *Submission.Sent;
  switch (resolveLostAnswer(State, Sent)) {
  case lost_commit_outcome::Accepted:
    return config_accepted{Sent.Sheet.Version, false};
  case lost_commit_outcome::Pending:
    return Sent;
  case lost_commit_outcome::TooOld:
    return config_refused{failureOnTimeout(Submission), {}};
  case lost_commit_outcome::Superseded:
    break;
  }
  // The head has changed, so the earlier commit can never take effect, and a
  // new one with the same id cannot apply the change twice.
  Submission.Sent.reset();
  return actionOf(Submission, planSubmission(State, Submission.Request,
                                             Submission.Id, WallNow));
}

submission_action onCommitAnswer(submission &Submission, commit_answer Answer) {
  if (Answer == commit_answer::Accepted && Submission.Sent)
    return config_accepted{Submission.Sent->Sheet.Version, false};
  // A conflict is resolved by a read too: it may be a conflict with an earlier
  // try of the same commit, whose answer was lost.
  return read_config{};
}

failure failureOnTimeout(const submission &Submission) {
  if (!Submission.Sent)
    return {errc::StoreUnreachable, "nothing was changed"};
  const std::string Again =
      std::holds_alternative<configuration>(Submission.Request)
          ? "submit the same sheet again, it is recognised"
          : "withdraw the key, which does no harm twice";
  return {errc::OutcomeUnknown,
          "it may have become version " +
              std::to_string(Submission.Sent->Sheet.Version) + "; " + Again};
}

} // namespace redwinggw::control
