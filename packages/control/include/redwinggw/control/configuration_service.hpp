#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/control/config_rows.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/storage/store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The shell around the configuration: reads the head row at an interval,
/// brings newer versions into force, and takes operators' changes.
namespace redwinggw::control {

struct config_options {
  /// Key under which the digests of customers' keys are made.
  std::string FleetKey;
  /// Between two reads of the head row.
  base::milliseconds RefreshInterval{500};
  /// How long a change is tried before its outcome is given up.
  base::milliseconds SubmitTimeout{5000};
  /// Greatest pause between two tries; each takes a random part of it.
  base::milliseconds RetryPause{100};
  /// How long an answer waits for the instances to have the change in force.
  base::milliseconds InForceWait{2000};
};

/// The version that an instance has in force.
struct instance_version {
  base::instance_name Name;
  base::config_version Version = 0;
};

/// What the service needs of the others. Empty ones mean that this instance
/// is alone.
struct configuration_ports {
  /// True when this instance hears a majority of the fleet. A change is
  /// accepted only then: otherwise nobody could confirm that it is in force.
  std::function<bool()> MayAccept;
  /// True when a majority told that it knows of this version.
  std::function<bool(base::config_version)> MajorityKnows;
  /// The other instances that are up, with the version at each.
  std::function<std::vector<instance_version>()> Others;
  /// Called after a read of the head row: sent, answered, version of the head.
  std::function<void(base::instant, base::instant, base::config_version)>
      NoteStoreRead;
  /// Called after any other answer of the store.
  std::function<void()> NoteStoreContact;
};

/// A change that was accepted.
struct submitted {
  base::config_version Version = 0;
  /// It had been accepted by an earlier, identical submission.
  bool AlreadyAccepted = false;
  /// A majority knows of it, so that it is in force everywhere in a moment,
  /// also at instances that cannot be reached: these stop to serve.
  bool Confirmed = false;
  /// Instances that have it in force, out of Instances.
  std::size_t InForceAt = 0;
  std::size_t Instances = 0;
};

struct given_key {
  std::string Id;
  /// The key itself, to be shown once; only its digest is stored.
  std::string Key;
  submitted Submitted;
};

/// Used from one thread. \p Store must outlive the service and the run of the
/// executor.
class configuration_service {
public:
  configuration_service(boost::asio::any_io_executor Executor,
                        storage::store &Store, config_options Options);
  configuration_service(const configuration_service &) = delete;
  configuration_service &operator=(const configuration_service &) = delete;
  ~configuration_service();

  /// Call before start.
  void setPorts(configuration_ports Ports);

  /// Begins to read the head row.
  void start();

  /// Ends the reading, so that the executor's run can return. May be repeated.
  void stop();

  /// What is in force here; empty with version 0 before the store was read.
  /// The reference stays valid, the content changes with each version.
  const configuration &inForce() const;

  /// False until the store was read once after the start.
  bool hasConfiguration() const;

  /// Called after each change of inForce(), in the order of the calls.
  void onChange(std::function<void(const configuration &)> Callback);

  /// A peer told of \p Version. When it is newer, the store is read at once.
  void noteVersionSeen(base::config_version Version);

  /// When the question of the last answered read of the head row was sent.
  std::optional<base::instant> lastStoreAnswer() const;

  /// Submits a sheet. Fails with errc::BadSheet (each fault on its own line of
  /// the detail), errc::Conflict (names what changed since), and as the
  /// changes of keys do.
  base::task<base::result<submitted>> submit(std::string Sheet);

  /// Makes a random key. Fails with errc::NotFound for an unknown customer,
  /// errc::StaleConfiguration when no majority is heard,
  /// errc::StoreUnreachable when nothing was changed, errc::OutcomeUnknown.
  base::task<base::result<given_key>> giveKey(base::customer_name Customer);

  /// Withdraws a key. Fails as giveKey does. With errc::OutcomeUnknown the key
  /// is out of force here, and the service goes on to withdraw it.
  base::task<base::result<submitted>> withdrawKey(std::string KeyId);

  /// The sheet of \p Version. Fails with errc::NotFound,
  /// errc::StoreUnreachable.
  base::task<base::result<accepted_sheet>>
  sheetOf(base::config_version Version);

  /// The last \p Count accepted sheets, newest first.
  base::task<base::result<std::vector<accepted_sheet>>>
  history(std::size_t Count);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::control
