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

/// The lease of one partition of the customers: its holder is the share giver.
///
/// Two givers at a time could give the double. They exclude each other by
/// time: the holder gives until Length after it SENT its last renewal; its
/// grants are dead a Ttl later. A taker waits Length from its first sight of
/// the unchanged row, which is later than that renewal, and a Ttl more.
///
/// Store outage: the holder cannot renew, and must not stop. It goes on past
/// its lease while it hears a majority of the instances and none of them
/// knows of an answer that the store gave anybody after the lease's end. A
/// taker that had such an answer says so in its heartbeats, waits until a
/// majority echoed one of these, then ContactTimeout and a Ttl more. The two
/// majorities share an instance; what that one says afterwards names the
/// answer. After ContactTimeout the holder has its word or does not hear it,
/// and stops. An instance that starts again in between counts for the holder
/// only once it read the store itself, which is a later answer. Fleets above
/// DirectLimit do without this rule, since there an echo of a majority takes
/// too long: the holder stops at the lease's end.
namespace redwinggw::control {

struct lease_limits {
  base::microseconds Length{2'000'000};
  base::microseconds RenewEvery{650'000};
  base::microseconds RetryEvery{200'000};
  /// For clocks that run unevenly and ages rounded to milliseconds.
  base::microseconds Margin{100'000};
  /// The longest time for which a grant counts.
  base::microseconds Ttl{250'000};
  /// Another instance must be the preferred giver for so long before the
  /// lease is handed over.
  base::microseconds MoveAfter{3'000'000};
  /// A lease is handed over only so soon after a renewal was sent that took
  /// effect: the holder stops giving before it releases, and when the store
  /// has gone down nobody could take over.
  base::microseconds MoveWithin{150'000};
  /// Switched off by tests only.
  bool TakerWaits = true;
  bool HolderHeedsEnd = true;
  bool ExtensionNeedsMajority = true;
  bool ExtensionHeedsContact = true;
  bool CountFromSending = true;
};

/// What a bucket held when its giver stopped.
struct saved_level {
  base::customer_name Customer;
  double Tokens = 0;
  double Outstanding = 0;
};

/// The value of the row `share/<partition>`.
struct lease_row {
  base::instance_name Holder;
  /// Unique to each commit, so that a lost answer is found out by reading.
  std::string Id;
  /// The holder has stopped for good; the next one starts from Levels.
  bool Released = false;
  std::vector<saved_level> Levels;
};

std::string toText(const lease_row &Row);
/// Nothing when \p Text is not a row.
std::optional<lease_row> parseLeaseRow(std::string_view Text);
std::string leaseKey(std::uint16_t Partition);

/// A commit whose outcome may be unknown.
struct lease_commit {
  lease_row Row;
  base::instant SentAt;
  /// It takes the lease rather than renews or releases it.
  bool Takes = false;
  /// What the former holder left, when it takes the lease.
  std::vector<saved_level> Start;
  /// There was no row: nobody ever gave.
  bool First = false;
};

/// Not thread safe.
struct share_lease {
  std::uint16_t Partition = 0;
  bool Known = false;
  std::uint64_t Version = 0;
  lease_row Row;
  /// When the row was first seen with this version.
  base::instant ObservedAt;
  /// Since then our heartbeats say that the store answered us after the end
  /// of the holder's lease.
  std::optional<base::instant> ToldSince;
  /// Since then it may be taken.
  std::optional<base::instant> TakeAt;
  bool Holding = false;
  base::instant ValidUntil;
  /// Stopped giving; the release is not yet known to be in the store.
  std::optional<std::vector<saved_level>> Releasing;
  /// The commit under way, and former ones that may still take effect.
  std::optional<lease_commit> Pending;
  std::vector<lease_commit> Tried;
  /// After a failed commit: not before then.
  base::instant RetryAt;
  /// The levels to start from, after lease_change::Taken.
  std::vector<saved_level> Start;
  bool First = false;
  /// How often the next giver was told of the release.
  unsigned Announcements = 0;
  base::instance_name Preferred;
  /// The next in line watches the row too, so that it can take over sooner.
  base::instance_name Standby;
  base::instant PreferredSince;
};

/// What happened to the lease through an answer of the store.
enum class lease_change { None, Taken, Lost };

/// Notes which instance should give, as of \p Now.
void setPreferred(share_lease &Lease, const base::instance_name &Preferred,
                  base::instant Now);

/// True when the holder should release: another one is preferred for long.
bool shouldMove(const share_lease &Lease, const base::instance_name &Self,
                const lease_limits &Limits, base::instant Now);

/// Stops holding for good, with what the buckets held. Precondition: Holding.
void release(share_lease &Lease, std::vector<saved_level> Levels);

/// The row to commit now, checked against Version, if any is due. \p Id must
/// be new. Then onCommitted or onCommitFailed must follow.
std::optional<lease_row> dueCommit(share_lease &Lease,
                                   const membership &Membership,
                                   const lease_limits &Limits, bool Draining,
                                   std::string Id, base::instant Now);

/// The commit under way took effect.
lease_change onCommitted(share_lease &Lease, std::uint64_t Version,
                         const lease_limits &Limits, base::instant Now);

/// It conflicted, or nobody knows whether it took effect: read the row.
void onCommitFailed(share_lease &Lease, const lease_limits &Limits,
                    base::instant Now);

/// Takes in a row as read. An older version than known changes nothing.
lease_change onRow(share_lease &Lease, const storage::row &Row,
                   const lease_limits &Limits, base::instant Now);

/// True when this instance may give at \p Now. Check it for each grant.
bool mayGive(const share_lease &Lease, const membership &Membership,
             const lease_limits &Limits, base::instant Now);

/// True when the row should be read soon.
bool needsRow(const share_lease &Lease, const base::instance_name &Self);

} // namespace redwinggw::control
