#include "redwinggw/control/share_lease.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace redwinggw::control {
namespace {

namespace json = boost::json;
using base::instant;
using base::microseconds;

/// Maximum number of commits with unknown outcome that are remembered.
constexpr std::size_t MaxUnresolved = 16;

json::value toJson(const saved_level &Level) {
  return {{"customer", Level.Customer},
          {"tokens", Level.Tokens},
          {"outstanding", Level.Outstanding}};
}

saved_level levelOf(const json::value &Value) {
  return {std::string(Value.at("customer").as_string()),
          Value.at("tokens").to_number<double>(),
          Value.at("outstanding").to_number<double>()};
}

lease_change stopHolding(share_lease &Lease) {
  const bool Held = std::exchange(Lease.Holding, false);
  return Held ? lease_change::Lost : lease_change::None;
}

/// The row in the store is the one that \p Commit wrote.
lease_change applyOwnCommit(share_lease &Lease, const lease_commit &Commit,
                            const lease_limits &Limits, instant Now) {
  if (Commit.Row.Released) {
    Lease.Releasing.reset();
    return stopHolding(Lease);
  }
  if (Lease.Releasing)
    return lease_change::None;
  const bool Held = std::exchange(Lease.Holding, true);
  Lease.InitialLevels = Commit.InitialLevels;
  Lease.NeverHeld = Commit.NeverHeld;
  const instant From = Limits.CountFromSending ? Commit.SentAt : Now;
  Lease.ValidUntil = From + Limits.Length;
  return Held ? lease_change::None : lease_change::Taken;
}

void setRow(share_lease &Lease, std::uint64_t Version, lease_row Row,
            instant Now) {
  Lease.Known = true;
  Lease.Version = Version;
  Lease.Row = std::move(Row);
  Lease.ObservedAt = Now;
  Lease.TakeOverAt.reset();
  Lease.StoreAnswerAnnouncedAt.reset();
}

/// Whether the holder has certainly stopped; see the top of the header.
bool mayTakeOver(share_lease &Lease, const membership &Membership,
                 const lease_limits &Limits, instant Now) {
  if (Lease.Version == 0 || Lease.Row.Released || !Limits.TakerWaits)
    return true;
  const instant Ended = Lease.ObservedAt + Limits.Length + Limits.Margin;
  if (Now < Ended)
    return false;
  // Twice DirectLimit: the holder's list of instances may be older than ours.
  const bool MayBeExtended =
      Membership.Members.size() <= 2 * Membership.Limits.DirectLimit;
  const auto Contact = Membership.Store.OwnContactAt;
  if (!Lease.StoreAnswerAnnouncedAt && Contact && *Contact >= Ended)
    Lease.StoreAnswerAnnouncedAt = Now;
  const bool Announced =
      Lease.StoreAnswerAnnouncedAt &&
      majorityReceivedSince(Membership, *Lease.StoreAnswerAnnouncedAt);
  if (!Lease.TakeOverAt && (!MayBeExtended || Announced))
    Lease.TakeOverAt = Now +
                       (MayBeExtended ? Membership.Limits.ContactTimeout
                                      : base::milliseconds(0)) +
                       Limits.Ttl + Limits.Margin;
  return Lease.TakeOverAt && Now >= *Lease.TakeOverAt;
}

bool isRenewalDue(const share_lease &Lease, const lease_limits &Limits,
                  instant Now) {
  const instant RenewedAt = Lease.ValidUntil - Limits.Length;
  return Now - RenewedAt >= Limits.RenewEvery;
}

} // namespace

std::string toText(const lease_row &Row) {
  json::array Levels;
  std::ranges::transform(Row.Levels, std::back_inserter(Levels), toJson);
  return json::serialize(json::object{{"holder", Row.Holder},
                                      {"id", Row.Id},
                                      {"released", Row.Released},
                                      {"levels", std::move(Levels)}});
}

std::optional<lease_row> parseLeaseRow(std::string_view Text) {
  try {
    const json::value Value = json::parse(Text);
    lease_row Row;
    Row.Holder = Value.at("holder").as_string();
    Row.Id = Value.at("id").as_string();
    Row.Released = Value.at("released").as_bool();
    std::ranges::transform(Value.at("levels").as_array(),
                           std::back_inserter(Row.Levels), levelOf);
    return Row;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string leaseKey(std::uint16_t Partition) {
  return "share/" + std::to_string(Partition);
}

void setPreferred(share_lease &Lease, const base::instance_name &Preferred,
                  instant Now) {
  if (Lease.Preferred == Preferred)
    return;
  Lease.Preferred = Preferred;
  Lease.PreferredSince = Now;
}

bool shouldHandOver(const share_lease &Lease, const base::instance_name &Self,
                    const lease_limits &Limits, instant Now) {
  const instant RenewedAt = Lease.ValidUntil - Limits.Length;
  return Lease.Preferred != Self &&
         Now - Lease.PreferredSince >= Limits.HandOverAfter &&
         Now - RenewedAt <= Limits.HandOverWithin;
}

void release(share_lease &Lease, std::vector<saved_level> Levels) {
  Lease.Holding = false;
  Lease.Releasing = std::move(Levels);
  Lease.ReleaseMessagesSent = 0;
}

std::optional<lease_row> dueCommit(share_lease &Lease,
                                   const membership &Membership,
                                   const lease_limits &Limits, bool Draining,
                                   std::string Id, instant Now) {
  const base::instance_name &Self = Membership.Self.Name;
  if (Lease.Pending || !Lease.Known || Now < Lease.RetryAt)
    return std::nullopt;
  lease_commit Commit;
  Commit.Row.Holder = Self;
  Commit.Row.Id = std::move(Id);
  Commit.SentAt = Now;
  if (Lease.Releasing) {
    Commit.Row.Released = true;
    Commit.Row.Levels = *Lease.Releasing;
  } else if (Lease.Holding) {
    if (!isRenewalDue(Lease, Limits, Now))
      return std::nullopt;
  } else {
    if (Draining || Lease.Preferred != Self ||
        !mayTakeOver(Lease, Membership, Limits, Now))
      return std::nullopt;
    Commit.TakesOver = true;
    Commit.InitialLevels = Lease.Row.Levels;
    Commit.NeverHeld = Lease.Version == 0;
  }
  Lease.Pending = Commit;
  return Commit.Row;
}

lease_change onCommitted(share_lease &Lease, std::uint64_t Version,
                         const lease_limits &Limits, instant Now) {
  const auto Commit = std::exchange(Lease.Pending, std::nullopt);
  if (!Commit)
    return lease_change::None;
  setRow(Lease, Version, Commit->Row, Now);
  Lease.Unresolved.clear();
  return applyOwnCommit(Lease, *Commit, Limits, Now);
}

void onCommitFailed(share_lease &Lease, const lease_limits &Limits,
                    instant Now) {
  const auto Commit = std::exchange(Lease.Pending, std::nullopt);
  if (!Commit)
    return;
  Lease.RetryAt = Now + Limits.RetryEvery;
  Lease.Unresolved.push_back(*Commit);
  if (Lease.Unresolved.size() > MaxUnresolved)
    Lease.Unresolved.erase(Lease.Unresolved.begin());
}

lease_change onRow(share_lease &Lease, const storage::row &Row,
                   const lease_limits &Limits, instant Now) {
  if (Lease.Known && Row.Version <= Lease.Version)
    return lease_change::None;
  setRow(Lease, Row.Version, parseLeaseRow(Row.Value).value_or(lease_row{}),
         Now);
  // The read may have overtaken the answer to the commit in flight.
  std::vector<lease_commit> Ours = Lease.Unresolved;
  if (Lease.Pending)
    Ours.push_back(*Lease.Pending);
  const auto Found = std::ranges::find(
      Ours, Lease.Row.Id, [](const lease_commit &Each) { return Each.Row.Id; });
  if (Found != Ours.end())
    return applyOwnCommit(Lease, *Found, Limits, Now);
  Lease.Releasing.reset();
  return stopHolding(Lease);
}

bool mayAllocate(const share_lease &Lease, const membership &Membership,
                 const lease_limits &Limits, instant Now) {
  if (!Lease.Holding)
    return false;
  if (Now < Lease.ValidUntil || !Limits.HolderChecksEnd)
    return true;
  const bool Majority =
      !Limits.ExtensionNeedsMajority || inContactWithMajority(Membership, Now);
  const auto Contact = lastStoreContact(Membership.Store);
  const bool NoContact = !Limits.ExtensionChecksContact || !Contact ||
                         *Contact <= Lease.ValidUntil;
  return Membership.Members.size() <= Membership.Limits.DirectLimit &&
         Majority && NoContact;
}

bool needsRow(const share_lease &Lease, const base::instance_name &Self) {
  if (!Lease.Known || !Lease.Unresolved.empty())
    return true;
  return !Lease.Holding && (Lease.Preferred == Self || Lease.Standby == Self);
}

} // namespace redwinggw::control
