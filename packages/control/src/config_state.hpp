#pragma once

#include "redwinggw/control/config_in_force.hpp"
#include "redwinggw/control/config_submission.hpp"
#include "redwinggw/control/configuration_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <random>
#include <set>

/// The implementation class of configuration_service. The struct config_state
/// is another thing: what was read from the store, see config_submission.hpp.
namespace redwinggw::control {

struct configuration_service::state : std::enable_shared_from_this<state> {
  state(boost::asio::any_io_executor Executor, storage::store &Store,
        config_options Options)
      : Executor(std::move(Executor)), Store(Store),
        Options(std::move(Options)), Timer(this->Executor) {}

  // Reads; each records what the answer says about the store.
  base::task<base::result<config_head>> readHead();
  base::task<base::result<std::vector<accepted_sheet>>>
  readSheets(std::vector<base::config_version> Versions);
  base::task<base::result<config_state>>
  readState(const submission &Submission);
  /// Puts the head's version in force if it is newer.
  base::task<void> refresh();
  base::task<void> refreshLoop();

  // Changes.
  /// Performs the actions of \p Submission until it ends.
  base::task<submission_action> runSubmission(submission &Submission);
  /// Runs \p Request to its end, puts the new version in force here, and waits
  /// for the other instances.
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
  /// Key ids of the withdrawals in progress.
  std::set<std::string> RunningWithdrawals;
  std::minstd_rand Random{std::random_device{}()};
  /// Whether the last read was answered; logged only when it changes.
  bool StoreAnswers = true;
  /// A read was requested while another one was in progress.
  bool ReadAgain = false;
  bool Stopped = false;
};

} // namespace redwinggw::control
