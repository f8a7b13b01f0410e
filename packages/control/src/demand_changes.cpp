#include "redwinggw/control/demand_changes.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace redwinggw::control {
namespace {

using base::instant;

template <typename Entry> Entry withoutDemand(std::uint32_t Customer) {
  Entry Value;
  Value.Customer = Customer;
  return Value;
}

template <typename Entry> bool hasDemand(const Entry &Value) {
  return Value != withoutDemand<Entry>(Value.Customer);
}

/// Publishes \p Value as of \p Version if it is due. Returns whether it is.
template <typename Entry>
bool publishEntry(published_entry<Entry> &Last, const Entry &Value,
                  const publication_limits &Limits, std::uint32_t Version,
                  instant Now) {
  if (Last.Value == Value ||
      !isChangeDue(Limits, Last.Value.Rate, Value.Rate, Last.At, Now))
    return false;
  Last = {Value, Version, Now};
  return true;
}

/// Publishes \p Values as of \p Version as far as they are due; entries missing
/// there lose their demand. Returns whether anything was due.
template <typename Entry>
bool publishEntries(published_list<Entry> &List, std::vector<Entry> Values,
                    const publication_limits &Limits, std::uint32_t Version,
                    instant Now) {
  std::ranges::sort(Values, {}, &Entry::Customer);
  bool Changed = false;
  auto Next = Values.cbegin();
  for (auto &[Customer, Last] : List) {
    Next = std::ranges::lower_bound(Next, Values.cend(), Customer, {},
                                    &Entry::Customer);
    const bool Present = Next != Values.cend() && Next->Customer == Customer;
    const Entry Value = Present ? *Next : withoutDemand<Entry>(Customer);
    Changed = publishEntry(Last, Value, Limits, Version, Now) || Changed;
  }
  for (const Entry &Value : Values)
    if (List.try_emplace(Value.Customer,
                         published_entry<Entry>{Value, Version, Now})
            .second)
      Changed = true;
  return Changed;
}

/// The entries that changed after version \p Held.
template <typename Entry>
std::vector<Entry> changedAfter(const published_list<Entry> &List,
                                std::uint32_t Held) {
  std::vector<Entry> Changes;
  for (const auto &[Customer, Last] : List)
    if (Last.Version > Held && (Held != 0 || hasDemand(Last.Value)))
      Changes.push_back(Last.Value);
  return Changes;
}

/// \p Held with \p Changes.
template <typename Entry>
std::vector<Entry> merge(std::vector<Entry> Held,
                         const std::vector<Entry> &Changes) {
  std::vector<std::uint32_t> Changed;
  std::ranges::transform(Changes, std::back_inserter(Changed),
                         &Entry::Customer);
  std::ranges::sort(Changed);
  std::erase_if(Held, [&](const Entry &Value) {
    return std::ranges::binary_search(Changed, Value.Customer);
  });
  std::ranges::copy_if(Changes, std::back_inserter(Held), hasDemand<Entry>);
  std::ranges::sort(Held, {}, &Entry::Customer);
  return Held;
}

/// The version to send changes to: nothing when the receiver claims a version
/// that does not exist.
std::uint32_t baseOf(std::uint32_t Held, std::uint32_t Version) {
  return Held <= Version ? Held : 0;
}

void mergeDemands(wire::peer_report &Held, wire::peer_report &Received) {
  const wire::list_range Range = Received.DemandRange;
  if (Range.Base == 0)
    return;
  const bool Applies = Held.DemandRange.Version >= Range.Base;
  Received.DemandRange = {0,
                          Applies ? Range.Version : Held.DemandRange.Version};
  Received.Demands = Applies ? merge(std::move(Held.Demands), Received.Demands)
                             : std::move(Held.Demands);
}

/// A digest whose sums cannot be completed has no scope any more, so that
/// nobody takes its sums for those of all customers.
void mergeSums(wire::fleet_digest &Held, wire::fleet_digest &Received) {
  wire::demand_digest &Sums = Received.Demands;
  if (Sums.Range.Base == 0)
    return;
  if (Held.Scope != Received.Scope ||
      Held.Demands.Range.Version < Sums.Range.Base) {
    Received.Scope = wire::digest_scope::None;
    Sums = {};
    return;
  }
  Sums.Range.Base = 0;
  Sums.Sums = merge(std::move(Held.Demands.Sums), Sums.Sums);
  Sums.Silent = merge(std::move(Held.Demands.Silent), Sums.Silent);
}

} // namespace

bool isChangeDue(const publication_limits &Limits, double Published,
                 double Rate, instant PublishedAt, instant Now) {
  const double Change = std::abs(Rate - Published);
  return Limits.Exact || Now - PublishedAt >= Limits.Interval ||
         Change > std::max(Limits.Fraction * Published, Limits.Rate);
}

void publishDemands(published_demands &Published,
                    const std::vector<wire::demand_report> &Demands,
                    instant Now) {
  if (publishEntries(Published.Demands, Demands, {}, Published.Version + 1,
                     Now) ||
      Published.Version == 0)
    ++Published.Version;
}

void publishSums(published_sums &Published, const wire::demand_digest &Digest,
                 publication_limits Limits, instant Now) {
  const std::uint32_t Version = Published.Version + 1;
  const bool OtherInstances =
      std::pair(Published.Contributors, Published.NeverSeen) !=
      std::pair(Digest.Contributors, Digest.NeverSeen);
  const bool OtherSilent =
      publishEntries(Published.Silent, Digest.Silent, {}, Version, Now);
  Limits.Exact = Limits.Exact || OtherInstances || OtherSilent;
  const bool OtherSums =
      publishEntries(Published.Sums, Digest.Sums, Limits, Version, Now);
  Published.Contributors = Digest.Contributors;
  Published.NeverSeen = Digest.NeverSeen;
  if (OtherSums || OtherSilent || Published.Version == 0)
    Published.Version = Version;
}

void writeDemands(const published_demands &Published, std::uint32_t Held,
                  wire::peer_report &Report) {
  if (Published.Version == 0)
    return;
  const std::uint32_t Base = baseOf(Held, Published.Version);
  Report.DemandRange = {Base, Published.Version};
  Report.Demands = changedAfter(Published.Demands, Base);
}

void leaveDemands(std::uint32_t Held, wire::peer_report &Report) {
  Report.DemandRange = {Held, Held};
  Report.Demands.clear();
}

void writeSums(const published_sums &Published, std::uint32_t Held,
               wire::demand_digest &Digest) {
  if (Published.Version == 0)
    return;
  const std::uint32_t Base = baseOf(Held, Published.Version);
  Digest.Range = {Base, Published.Version};
  Digest.Contributors = Published.Contributors;
  Digest.NeverSeen = Published.NeverSeen;
  Digest.Sums = changedAfter(Published.Sums, Base);
  Digest.Silent = changedAfter(Published.Silent, Base);
}

std::uint32_t heldSums(const wire::peer_report &Report,
                       wire::digest_scope Scope) {
  return Report.HeldScope == Scope ? Report.HeldSums : 0;
}

void writeHeld(const wire::peer_report &Held, wire::peer_report &Report) {
  Report.HeldDemands = Held.DemandRange.Version;
  Report.HeldScope = Held.Digest.Scope;
  Report.HeldSums = Held.Digest.Demands.Range.Version;
}

wire::peer_report mergeReport(wire::peer_report Held,
                              wire::peer_report Received) {
  mergeDemands(Held, Received);
  mergeSums(Held.Digest, Received.Digest);
  return Received;
}

} // namespace redwinggw::control
