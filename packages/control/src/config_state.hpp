#pragma once

#include "redwinggw/control/config_in_force.hpp"
#include "redwinggw/control/config_submission.hpp"
#include "redwinggw/control/configuration_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <random>
#include <set>

/// The inside of configuration_service.
namespace redwinggw::control {

struct configuration_service::state : std::enable_shared_from_this<state> {
  state(boost::asio::any_io_executor Executor, storage::store &Store,
        config_options Options)
      : Executor(std::move(Executor)), Store(Store),
        Options(std::move(Options)), Timer(this->Executor) {}

  // Reading; each notes what it learnt about the store.
  base::task<base::result<config_head>> readHead();
  base::task<base::result<std::vector<accepted_sheet>>>
  readSheets(std::vector<base::config_version> Versions);
  base::task<base::result<config_state>>
  readState(const submission &Submission);
  /// Brings the head's version into force when it is newer.
  base::task<void> refresh();
  base::task<void> refreshLoop();

  // Changing.
  /// Carries out the actions of \p Submission until it ends.
  base::task<submission_action> runSubmission(submission &Submission);
  /// Runs \p Request to its end, brings it into force here, and waits for the
  /// other instances.
  base::task<base::result<submitted>> change(config_request Request);
  base::task<base::result<submitted>> withdraw(std::string KeyId);
  base::task<void> finishWithdrawal(std::string KeyId);
  base::task<submitted> awaitInForce(submitted Submitted);

  void countInForce(submitted &Submitted) const;
  void startWithdrawals();
  void apply(configuration Accepted);
  void notify() const;
  void recordStoreResponse(bool Answered);
  base::task<void> pause(base::milliseconds Time);
  base::milliseconds randomPause();

  boost::asio::any_io_executor Executor;
  storage::store &Store;
  config_options Options;
  configuration_ports Ports;
  boost::asio::steady_timer Timer;
  config_in_force InForce;
  configuration EmptyConfiguration;
  std::vector<std::function<void(const configuration &)>> Callbacks;
  std::optional<base::instant> LastStoreAnswer;
  /// Withdrawals that are being tried at the moment.
  std::set<std::string> RunningWithdrawals;
  std::minstd_rand Random{std::random_device{}()};
  /// The last read was answered; for one log line a change.
  bool StoreAnswers = true;
  /// A read was asked for while one was on its way.
  bool ReadAgain = false;
  bool Stopped = false;
};

} // namespace redwinggw::control
