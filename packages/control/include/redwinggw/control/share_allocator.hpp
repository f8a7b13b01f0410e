#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/share_bucket.hpp"
#include "redwinggw/control/share_lease.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

/// The token buckets of the customers whose partitions this instance holds.
namespace redwinggw::control {

using share_plans = std::map<base::customer_name, share_plan, std::less<>>;

/// Not thread safe.
struct share_allocator {
  share_limits Limits;
  std::uint16_t Partitions = 1;
  std::map<base::customer_name, share_bucket, std::less<>> Buckets;
  /// Tokens allocated since the start.
  double Allocated = 0;
};

/// The partition of \p Customer; the same in all instances.
std::uint16_t partitionOf(std::string_view Customer, std::uint16_t Partitions);

/// How the buckets of a partition start.
struct partition_start {
  std::vector<saved_level> Levels;
  /// Nobody ever held the lease of this partition: the buckets are full.
  bool NeverHeld = false;
};

/// Starts to allocate for \p Partition. Buckets start from the levels that the
/// former allocator left, and empty without a level: it is not known what an
/// allocator that failed had granted. All its grants have expired by now, and
/// what it could still have granted until now is more than an empty bucket.
void startPartition(share_allocator &Allocator, const share_plans &Plans,
                    std::uint16_t Partition, const partition_start &Start,
                    base::instant Now);

/// Drops the buckets of \p Partition.
void dropPartition(share_allocator &Allocator, std::uint16_t Partition);

/// The levels of the buckets of \p Partition, for the next allocator.
std::vector<saved_level> levelsOf(share_allocator &Allocator,
                                  std::uint16_t Partition, base::instant Now);

/// Applies the rates and bursts. \p Holds: whether this instance holds the
/// lease of a partition.
void applyAllocatorPlans(share_allocator &Allocator, const share_plans &Plans,
                         const std::function<bool(std::uint16_t)> &Holds,
                         base::instant Now);

/// Answers a request. Precondition: the lease of its partition allows it now.
wire::share_message grant(share_allocator &Allocator,
                          const wire::share_message &Request,
                          base::instant Now);

/// An answer of \p Kind to \p Request, without entries.
wire::share_message answerTo(const wire::share_message &Request,
                             wire::share_kind Kind);

} // namespace redwinggw::control
