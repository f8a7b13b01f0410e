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

/// I/O for the configuration: reads the head row periodically, puts newer
/// versions in force, and processes operators' changes.
namespace redwinggw::control {

struct config_options {
  /// HMAC key for the digests of customers' keys.
  std::string FleetKey;
  /// Time between two reads of the head row.
  base::milliseconds RefreshInterval{500};
  /// How long a change is retried before it fails or its outcome is reported as
  /// unknown.
  base::milliseconds SubmitTimeout{5000};
  /// Longest pause between two tries; each pause is random up to it.
  base::milliseconds RetryPause{100};
  /// How long an answer waits until the instances have the change in force.
  base::milliseconds InForceWait{2000};
};

/// The version that an instance has in force.
struct instance_version {
  base::instance_name Name;
  base::config_version Version = 0;
};

/// Callbacks into the other components. Empty ones mean that this instance is
/// the only one.
struct configuration_ports {
  /// True when this instance is in contact with a majority of the fleet. A
  /// change is accepted only then: otherwise nobody could confirm that it is in
  /// force.
  std::function<bool()> MayAccept;
  /// True when a majority has reported that it knows of this version.
  std::function<bool(base::config_version)> MajorityKnows;
  /// The other live instances, with the version in force at each.
  std::function<std::vector<instance_version>()> Others;
  /// Called after a read of the head row with the time when it was sent, the
  /// time of the answer, and the version of the head.
  std::function<void(base::instant, base::instant, base::config_version)>
      NoteStoreRead;
  /// Called after any other answer of the store.
  std::function<void()> NoteStoreContact;
};

/// The result of a change that was accepted.
struct submitted {
  base::config_version Version = 0;
  /// An earlier, identical submission had been accepted.
  bool AlreadyAccepted = false;
  /// A majority knows of the version, so that it is in force everywhere within
  /// a short time. Instances that cannot be reached stop serving.
  bool Confirmed = false;
  /// Number of instances, out of Instances, that have the version in force.
  std::size_t InForceAt = 0;
  std::size_t Instances = 0;
};

struct given_key {
  std::string Id;
  /// The key itself, which is shown only once; only its digest is stored.
  std::string Key;
  submitted Submitted;
};

/// Must be used from one thread. \p Store must outlive the service and the run
/// of the executor.
class configuration_service {
public:
  configuration_service(boost::asio::any_io_executor Executor,
                        storage::store &Store, config_options Options);
  configuration_service(const configuration_service &) = delete;
  configuration_service &operator=(const configuration_service &) = delete;
  ~configuration_service();

  /// Call before start.
  void setPorts(configuration_ports Ports);

  /// Starts reading the head row periodically.
  void start();

  /// Stops reading, so that the executor's run can return. Idempotent.
  void stop();

  /// The configuration in force here; empty with version 0 before the first
  /// read of the store. The reference stays valid, the content changes with
  /// each version.
  const configuration &inForce() const;

  /// False until the store has been read for the first time after the start.
  bool hasConfiguration() const;

  /// Registers a callback for each change of inForce(). Callbacks run in the
  /// order of registration.
  void onChange(std::function<void(const configuration &)> Callback);

  /// Called when a peer reports \p Version. If it is newer than the one in
  /// force, the store is read at once.
  void noteVersionSeen(base::config_version Version);

  /// Send time of the last read of the head row that was answered.
  std::optional<base::instant> lastStoreAnswer() const;

  /// Submits a sheet. Fails with errc::BadSheet (each fault on its own line of
  /// the detail), errc::Conflict (lists what changed since), and as giveKey
  /// does.
  base::task<base::result<submitted>> submit(std::string Sheet);

  /// Creates a random key. Fails with errc::NotFound for an unknown customer,
  /// errc::StaleConfiguration when this instance is not in contact with a
  /// majority, errc::StoreUnreachable when nothing was changed, and
  /// errc::OutcomeUnknown.
  base::task<base::result<given_key>> giveKey(base::customer_name Customer);

  /// Withdraws a key. Fails as giveKey does. After errc::OutcomeUnknown the key
  /// is out of force here, and the service keeps trying to withdraw it.
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
