#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/storage/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The lease of one partition of the customers: its holder is the share
/// allocator.
///
/// Two allocators at the same time could admit twice the rate. Time keeps them
/// apart: the holder allocates until Length after it SENT its last renewal, and
/// its grants expire one Ttl later. An instance that wants to take the lease
/// over waits Length from when it first saw the unchanged row, which is later
/// than that renewal, and one more Ttl.
///
/// Store outage: the holder cannot renew, and must not stop. It goes on past
/// its lease while it is in contact with a majority of the instances and none
/// of them knows of an answer that the store gave to anybody after the end of
/// the lease. An instance that wants to take over does this:
///
/// 1. After the end of the lease it waits for an answer of the store. From then
///    on its heartbeats report that answer.
/// 2. It waits until a majority has acknowledged one of these heartbeats.
/// 3. It waits for ContactTimeout, after which contact counts as lost, and one
///    more Ttl.
///
/// The majority of the holder and that of the taker share an instance, whose
/// later heartbeats report the answer. By the end of ContactTimeout the holder
/// has received such a heartbeat or lost contact with that instance, and stops;
/// its grants expire in the Ttl after that. An instance that restarts in
/// between counts for the holder only once it has read the store itself, which
/// is a later answer. Fleets above DirectLimit do without this rule, since an
/// acknowledgement from a majority takes too long there: the holder stops at
/// the end of its lease.
namespace redwinggw::control {

struct lease_limits {
  base::microseconds Length{2'000'000};
  base::microseconds RenewEvery{650'000};
  base::microseconds RetryEvery{200'000};
  /// For clocks that run at different speeds and ages rounded to milliseconds.
  base::microseconds Margin{100'000};
  /// The longest time for which a grant is valid, as share_limits::MaxTtl.
  base::microseconds Ttl{250'000};
  /// The lease is handed over once another instance has been the preferred
  /// allocator for this long.
  base::microseconds HandOverAfter{3'000'000};
  /// A lease is handed over only this soon after a successful renewal was sent:
  /// the holder stops allocating before it releases the lease, and if the store
  /// has failed meanwhile nobody could take over.
  base::microseconds HandOverWithin{150'000};
  /// Only tests switch these off.
  bool TakerWaits = true;
  bool HolderChecksEnd = true;
  bool ExtensionNeedsMajority = true;
  bool ExtensionChecksContact = true;
  bool CountFromSending = true;
};

/// What a bucket held when its allocator stopped.
struct saved_level {
  base::customer_name Customer;
  double Tokens = 0;
  double Outstanding = 0;
};

/// The value of the row `share/<partition>`.
struct lease_row {
  base::instance_name Holder;
  /// Unique to each commit, so that reading the row shows whether a commit
  /// whose answer was lost took effect.
  std::string Id;
  /// The holder has stopped for good; its successor starts from Levels.
  bool Released = false;
  std::vector<saved_level> Levels;
};

std::string toText(const lease_row &Row);
/// Nothing when \p Text is not a valid row.
std::optional<lease_row> parseLeaseRow(std::string_view Text);
std::string leaseKey(std::uint16_t Partition);

/// A commit whose outcome may be unknown.
struct lease_commit {
  lease_row Row;
  base::instant SentAt;
  /// Takes the lease instead of renewing or releasing it.
  bool TakesOver = false;
  /// The levels that the former holder left, if this takes the lease.
  std::vector<saved_level> InitialLevels;
  /// There was no row: nobody ever held the lease.
  bool NeverHeld = false;
};

/// Not thread safe.
struct share_lease {
  std::uint16_t Partition = 0;
  bool Known = false;
  std::uint64_t Version = 0;
  lease_row Row;
  /// When the row was first seen with this version.
  base::instant ObservedAt;
  /// Since when the own heartbeats say that the store answered this instance
  /// after the end of the holder's lease.
  std::optional<base::instant> StoreAnswerAnnouncedAt;
  /// From when on this instance may take the lease.
  std::optional<base::instant> TakeOverAt;
  bool Holding = false;
  base::instant ValidUntil;
  /// Set once allocation has stopped, until the release is known to be in the
  /// store.
  std::optional<std::vector<saved_level>> Releasing;
  /// The commit in flight, and earlier ones that may still take effect.
  std::optional<lease_commit> Pending;
  std::vector<lease_commit> Unresolved;
  /// No new commit before then, after one failed.
  base::instant RetryAt;
  /// The levels to start from, after lease_change::Taken.
  std::vector<saved_level> InitialLevels;
  bool NeverHeld = false;
  /// How many messages about the release the next allocator was sent.
  unsigned ReleaseMessagesSent = 0;
  base::instance_name Preferred;
  /// The second choice reads the row too, so that it can take over sooner.
  base::instance_name Standby;
  base::instant PreferredSince;
};

/// How an answer of the store changed who holds the lease.
enum class lease_change { None, Taken, Lost };

/// Sets which instance should be the allocator, as of \p Now.
void setPreferred(share_lease &Lease, const base::instance_name &Preferred,
                  base::instant Now);

/// True when the holder should release the lease: another instance has been
/// preferred for long enough.
bool shouldHandOver(const share_lease &Lease, const base::instance_name &Self,
                    const lease_limits &Limits, base::instant Now);

/// Stops holding the lease for good and leaves the levels of the buckets to the
/// successor. Precondition: Holding.
void release(share_lease &Lease, std::vector<saved_level> Levels);

/// The row to commit now, conditional on Version, if a commit is due. \p Id
/// must be new. onCommitted or onCommitFailed must follow.
std::optional<lease_row> dueCommit(share_lease &Lease,
                                   const membership &Membership,
                                   const lease_limits &Limits, bool Draining,
                                   std::string Id, base::instant Now);

/// The commit in flight took effect.
lease_change onCommitted(share_lease &Lease, std::uint64_t Version,
                         const lease_limits &Limits, base::instant Now);

/// The commit in flight conflicted, or its outcome is unknown: read the row.
void onCommitFailed(share_lease &Lease, const lease_limits &Limits,
                    base::instant Now);

/// Processes the row as read. A version that is not newer changes nothing.
lease_change onRow(share_lease &Lease, const storage::row &Row,
                   const lease_limits &Limits, base::instant Now);

/// True when this instance may allocate at \p Now. Check it for each grant.
bool mayAllocate(const share_lease &Lease, const membership &Membership,
                 const lease_limits &Limits, base::instant Now);

/// True when the row should be read soon.
bool needsRow(const share_lease &Lease, const base::instance_name &Self);

} // namespace redwinggw::control
