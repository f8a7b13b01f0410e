#include "redwinggw/control/share_allocator.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

using base::instant;

share_bucket emptyBucket(const share_plan &Plan, instant Now) {
  share_bucket Bucket;
  Bucket.Plan = Plan;
  Bucket.FilledAt = Now;
  return Bucket;
}

/// The bucket of a customer that is added while this instance holds its lease.
/// It may have been removed and added again while grants are still valid, so
/// the whole burst counts as outstanding at first.
share_bucket newBucket(const share_allocator &Allocator, const share_plan &Plan,
                       instant Now) {
  share_bucket Bucket = emptyBucket(Plan, Now);
  Bucket.Outstanding.push_back({Now + Allocator.Limits.MaxTtl, Plan.Burst});
  return Bucket;
}

share_bucket bucketFrom(const share_allocator &Allocator,
                        const saved_level &Level, const share_plan &Plan,
                        instant Now) {
  share_bucket Bucket = emptyBucket(Plan, Now);
  Bucket.Tokens = Level.Tokens;
  if (Level.Outstanding > 0)
    Bucket.Outstanding.push_back(
        {Now + Allocator.Limits.MaxTtl, Level.Outstanding});
  setPlan(Bucket, Plan, Now, Allocator.Limits);
  return Bucket;
}

wire::share_entry allocateEntry(share_allocator &Allocator,
                                share_bucket &Bucket,
                                const wire::share_entry &Wanted, instant Now) {
  wire::share_entry Entry;
  Entry.Customer = Wanted.Customer;
  Entry.Tokens = static_cast<float>(
      allocateTokens(Bucket, Wanted.Tokens, Now, Allocator.Limits));
  Entry.TtlUs = static_cast<std::uint32_t>(Bucket.Plan.Ttl.count());
  if (Entry.Tokens < Wanted.Tokens)
    Entry.WaitUs = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, timeToToken(Bucket, Now).count()));
  Allocator.Allocated += Entry.Tokens;
  return Entry;
}

} // namespace

std::uint16_t partitionOf(std::string_view Customer, std::uint16_t Partitions) {
  return static_cast<std::uint16_t>(wire::hashOf(Customer) % Partitions);
}

void startPartition(share_allocator &Allocator, const share_plans &Plans,
                    std::uint16_t Partition, const partition_start &Start,
                    instant Now) {
  dropPartition(Allocator, Partition);
  for (const auto &[Customer, Plan] : Plans) {
    if (partitionOf(Customer, Allocator.Partitions) != Partition)
      continue;
    const auto Level =
        std::ranges::find(Start.Levels, Customer, &saved_level::Customer);
    share_bucket Bucket = emptyBucket(Plan, Now);
    if (Level != Start.Levels.end())
      Bucket = bucketFrom(Allocator, *Level, Plan, Now);
    else if (Start.NeverHeld)
      Bucket.Tokens = Plan.Burst;
    Allocator.Buckets[Customer] = std::move(Bucket);
  }
}

void dropPartition(share_allocator &Allocator, std::uint16_t Partition) {
  std::erase_if(Allocator.Buckets, [&](const auto &Entry) {
    return partitionOf(Entry.first, Allocator.Partitions) == Partition;
  });
}

std::vector<saved_level> levelsOf(share_allocator &Allocator,
                                  std::uint16_t Partition, instant Now) {
  std::vector<saved_level> Levels;
  for (auto &[Customer, Bucket] : Allocator.Buckets) {
    if (partitionOf(Customer, Allocator.Partitions) != Partition)
      continue;
    advance(Bucket, Now, Allocator.Limits);
    Levels.push_back({Customer, Bucket.Tokens, outstandingTokens(Bucket)});
  }
  return Levels;
}

void applyAllocatorPlans(share_allocator &Allocator, const share_plans &Plans,
                         const std::function<bool(std::uint16_t)> &Holds,
                         instant Now) {
  std::erase_if(Allocator.Buckets, [&](const auto &Entry) {
    return !Plans.contains(Entry.first);
  });
  for (const auto &[Customer, Plan] : Plans) {
    const auto Found = Allocator.Buckets.find(Customer);
    if (Found != Allocator.Buckets.end())
      setPlan(Found->second, Plan, Now, Allocator.Limits);
    else if (Holds(partitionOf(Customer, Allocator.Partitions)))
      Allocator.Buckets[Customer] = newBucket(Allocator, Plan, Now);
  }
}

wire::share_message grant(share_allocator &Allocator,
                          const wire::share_message &Request, instant Now) {
  wire::share_message Answer = answerTo(Request, wire::share_kind::Grant);
  for (const wire::share_entry &Wanted : Request.Entries) {
    const auto Found = Allocator.Buckets.find(Wanted.Customer);
    const bool Here =
        Found != Allocator.Buckets.end() &&
        partitionOf(Wanted.Customer, Allocator.Partitions) == Request.Partition;
    if (Here)
      Answer.Entries.push_back(
          allocateEntry(Allocator, Found->second, Wanted, Now));
  }
  return Answer;
}

wire::share_message answerTo(const wire::share_message &Request,
                             wire::share_kind Kind) {
  wire::share_message Answer;
  Answer.Kind = Kind;
  Answer.Partition = Request.Partition;
  Answer.Incarnation = Request.Incarnation;
  Answer.Number = Request.Number;
  return Answer;
}

} // namespace redwinggw::control
