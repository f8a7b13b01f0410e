#include "config_state.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// Submits changes of the configuration: the reads and commits that the
// decisions of config_submission.hpp ask for.
namespace redwinggw::control {
namespace {

using base::errc;
using base::failure;
using base::log_level;
using base::log_part;
using base::result;
using base::task;

constexpr base::milliseconds InForcePoll{10};

commit_answer answerOf(const result<std::vector<std::uint64_t>> &Committed) {
  if (Committed)
    return commit_answer::Accepted;
  return kindOf(Committed.error()) == errc::Conflict ? commit_answer::Conflict
                                                     : commit_answer::Unknown;
}

bool isEnd(const submission_action &Action) {
  return std::holds_alternative<config_accepted>(Action) ||
         std::holds_alternative<config_refused>(Action);
}

} // namespace

task<submission_action>
configuration_service::state::runSubmission(submission &Submission) {
  const base::instant Deadline = base::now() + Options.SubmitTimeout;
  submission_action Action = read_config{};
  while (!isEnd(Action)) {
    if (base::now() >= Deadline || Stopped)
      co_return config_refused{failureOnTimeout(Submission), {}};
    if (const auto *Commit = std::get_if<config_commit>(&Action)) {
      storage::commit_request Request = Commit->Request;
      const auto Committed =
          co_await storage::commit(Store, std::move(Request));
      Action = onCommitAnswer(Submission, answerOf(Committed));
      // Random, so that concurrent operators do not conflict again and again.
      if (!isEnd(Action))
        co_await pause(randomPause());
      continue;
    }
    const auto State = co_await readState(Submission);
    if (State)
      Action = onState(Submission, *State, base::wallMilliseconds());
    else
      co_await pause(Options.RetryPause);
  }
  co_return Action;
}

task<result<submitted>>
configuration_service::state::change(config_request Request) {
  if (Ports.MayAccept && !Ports.MayAccept())
    co_return failure(errc::StaleConfiguration,
                      "nothing was changed: this instance does not hear a "
                      "majority of the fleet");
  submission Submission(std::move(Request), base::randomId());
  const submission_action Action = co_await runSubmission(Submission);
  if (const auto *Refused = std::get_if<config_refused>(&Action))
    co_return Refused->Failure;
  const auto &Accepted = std::get<config_accepted>(Action);
  base::log(log_level::Info, log_part::Configuration,
            "Accepted version " + std::to_string(Accepted.Version) + ".");
  submitted Submitted;
  Submitted.Version = Accepted.Version;
  Submitted.AlreadyAccepted = Accepted.AlreadyAccepted;
  co_return co_await awaitInForce(Submitted);
}

task<submitted>
configuration_service::state::awaitInForce(submitted Submitted) {
  const base::instant Deadline = base::now() + Options.InForceWait;
  co_await refresh();
  while (true) {
    Submitted.Confirmed =
        !Ports.MajorityKnows || Ports.MajorityKnows(Submitted.Version);
    countInForce(Submitted);
    const bool Everywhere = Submitted.InForceAt == Submitted.Instances;
    if ((Submitted.Confirmed && Everywhere) || base::now() >= Deadline ||
        Stopped)
      co_return Submitted;
    co_await pause(InForcePoll);
    if (InForce.Configuration &&
        InForce.Configuration->Version < Submitted.Version)
      co_await refresh();
  }
}

void configuration_service::state::countInForce(submitted &Submitted) const {
  std::vector<instance_version> Instances;
  if (Ports.Others)
    Instances = Ports.Others();
  Instances.push_back(
      {"", InForce.Configuration ? InForce.Configuration->Version : 0});
  Submitted.Instances = Instances.size();
  Submitted.InForceAt = static_cast<std::size_t>(
      std::ranges::count_if(Instances, [&](const instance_version &Instance) {
        return Instance.Version >= Submitted.Version;
      }));
}

/// Guards against a withdrawal whose commit took effect although its answer was
/// lost: an instance that waited for the answer would serve the key until its
/// next read, and the operator could not know. So the key is taken out of force
/// here first, and put back only when it is certain that nothing was changed.
task<result<submitted>>
configuration_service::state::withdraw(std::string KeyId) {
  RunningWithdrawals.insert(KeyId);
  if (withdrawHere(InForce, KeyId))
    notify();
  config_request Request = key_withdrawal{KeyId};
  auto Withdrawn = co_await change(std::move(Request));
  RunningWithdrawals.erase(KeyId);
  const bool Unknown =
      !Withdrawn && kindOf(Withdrawn.error()) == errc::OutcomeUnknown;
  const bool Gone = !Withdrawn && kindOf(Withdrawn.error()) == errc::NotFound;
  if (Withdrawn || Unknown || Gone)
    co_return Withdrawn;
  undoWithdrawHere(InForce, KeyId);
  notify();
  co_return Withdrawn;
}

task<void> configuration_service::state::finishWithdrawal(std::string KeyId) {
  const auto Self = shared_from_this();
  config_request Request = key_withdrawal{KeyId};
  const auto Withdrawn = co_await change(std::move(Request));
  RunningWithdrawals.erase(KeyId);
  if (Withdrawn)
    base::log(log_level::Info, log_part::Configuration,
              "Completed a key withdrawal whose outcome was unknown.");
}

void configuration_service::state::startWithdrawals() {
  for (const customer_key &Key : InForce.Withdrawing) {
    if (!StoreAnswers || !RunningWithdrawals.insert(Key.Id).second)
      continue;
    boost::asio::co_spawn(Executor, finishWithdrawal(Key.Id),
                          boost::asio::detached);
  }
}

} // namespace redwinggw::control
