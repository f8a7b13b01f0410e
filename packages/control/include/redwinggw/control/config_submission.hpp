#pragma once

#include "redwinggw/control/config_changes.hpp"
#include "redwinggw/control/config_rows.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The decisions behind a change of the configuration, without I/O.
///
/// One conditional commit accepts a change: it puts the head row and the row
/// of the new version under the condition that the head row is as it was read.
/// So of two racing operators one wins, and a commit that arrives late can
/// only take effect while nothing else was accepted. A lost answer is resolved
/// by reading the row of the version that the commit would have made: it
/// carries the submission's id.
namespace redwinggw::control {

/// Gives a customer a key.
struct key_addition {
  customer_key Key;
};

struct key_withdrawal {
  std::string KeyId;
};

/// What an operator asks for: a whole sheet, made from its Version, or a
/// change of what is in force, whatever that is.
using config_request =
    std::variant<configuration, key_addition, key_withdrawal>;

/// What was read from the store.
struct config_state {
  config_head Head;
  /// Those of the sheets asked for that are kept.
  std::vector<accepted_sheet> Sheets;
};

/// A commit that makes \p Sheet the next version.
struct config_commit {
  accepted_sheet Sheet;
  storage::commit_request Request;
};

struct config_accepted {
  base::config_version Version = 0;
  /// An identical sheet had been accepted before.
  bool AlreadyAccepted = false;
};

/// Nothing was changed.
struct config_refused {
  base::failure Failure;
  /// What was accepted since the version that the sheet was made from.
  std::vector<config_change> ChangesSince;
};

using config_plan =
    std::variant<config_commit, config_accepted, config_refused>;

/// Decides what to do about \p Request. \p State must hold the sheets that
/// sheetsToRead named for its head.
config_plan planSubmission(const config_state &State,
                           const config_request &Request,
                           const std::string &Submission, std::int64_t WallNow);

/// What became of a commit whose answer was lost or that met a conflict.
enum class lost_commit_outcome {
  Accepted,
  /// The head has moved on without it: it can never take effect.
  Superseded,
  /// The head is as it was: it may still take effect, or be sent again.
  Pending,
  /// Its version is too old for its sheet to be kept.
  TooOld,
};

lost_commit_outcome resolveLostAnswer(const config_state &State,
                                      const config_commit &Commit);

/// The run of one request from its first read to its end.
struct submission {
  config_request Request;
  std::string Id;
  std::optional<config_commit> Sent;

  submission(config_request Request, std::string Id)
      : Request(std::move(Request)), Id(std::move(Id)) {}
};

/// Read the head and the sheets that sheetsToRead names, then call onState.
struct read_config {};
using submission_action =
    std::variant<read_config, config_commit, config_accepted, config_refused>;

/// Answer of a commit; Unknown when none came.
enum class commit_answer { Accepted, Conflict, Unknown };

/// Versions whose sheets planSubmission and resolveLostAnswer need.
std::vector<base::config_version> sheetsToRead(const submission &Submission,
                                               const config_head &Head);

submission_action onState(submission &Submission, const config_state &State,
                          std::int64_t WallNow);

/// Precondition: a commit was sent.
submission_action onCommitAnswer(submission &Submission, commit_answer Answer);

/// How a request ends that could not be finished in time.
base::failure failureOnTimeout(const submission &Submission);

} // namespace redwinggw::control
