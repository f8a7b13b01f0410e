#pragma once

#include "redwinggw/control/config_changes.hpp"
#include "redwinggw/control/config_rows.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Changes of the configuration. Decisions without I/O.
///
/// One conditional commit accepts a change: it writes the head row and the row
/// of the new version on condition that the head row is unchanged since it was
/// read. So of two concurrent operators one wins, and a commit that arrives
/// late takes effect only if nothing else was accepted in between. If the
/// answer to the commit is lost, its outcome is determined by reading the row
/// of the version that it would have created, which carries the id of the
/// submission.
namespace redwinggw::control {

/// Adds a key to a customer.
struct key_addition {
  customer_key Key;
};

struct key_withdrawal {
  std::string KeyId;
};

/// A request of an operator: a whole sheet that was made from its Version, or a
/// change to whichever version is in force.
using config_request =
    std::variant<configuration, key_addition, key_withdrawal>;

/// The configuration as read from the store.
struct config_state {
  config_head Head;
  /// The requested sheets, without those that are no longer kept.
  std::vector<accepted_sheet> Sheets;
};

/// A commit that makes Sheet the next version.
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
  /// Changes accepted since the version that the sheet was made from.
  std::vector<config_change> ChangesSince;
};

using config_plan =
    std::variant<config_commit, config_accepted, config_refused>;

/// Decides how to process \p Request. \p State must hold the sheets that
/// sheetsToRead lists for its head.
config_plan planSubmission(const config_state &State,
                           const config_request &Request,
                           const std::string &Submission, std::int64_t WallNow);

/// Outcome of a commit whose answer was lost or was a conflict.
enum class lost_commit_outcome {
  Accepted,
  /// Another submission created this version: the commit can never take
  /// effect.
  Superseded,
  /// The head is unchanged: the commit may still take effect, or be sent again.
  Pending,
  /// Its version is too old for its sheet to be kept.
  TooOld,
};

lost_commit_outcome resolveLostAnswer(const config_state &State,
                                      const config_commit &Commit);

/// The progress of one request from its first read to its end.
struct submission {
  config_request Request;
  std::string Id;
  std::optional<config_commit> Sent;

  submission(config_request Request, std::string Id)
      : Request(std::move(Request)), Id(std::move(Id)) {}
};

/// Read the head and the sheets that sheetsToRead lists, then call onState.
struct read_config {};
using submission_action =
    std::variant<read_config, config_commit, config_accepted, config_refused>;

/// Answer to a commit; Unknown when none arrived.
enum class commit_answer { Accepted, Conflict, Unknown };

/// Versions whose sheets planSubmission and resolveLostAnswer need.
std::vector<base::config_version> sheetsToRead(const submission &Submission,
                                               const config_head &Head);

submission_action onState(submission &Submission, const config_state &State,
                          std::int64_t WallNow);

/// Precondition: a commit was sent.
submission_action onCommitAnswer(submission &Submission, commit_answer Answer);

/// The failure of a request that did not finish in time.
base::failure failureOnTimeout(const submission &Submission);

} // namespace redwinggw::control
