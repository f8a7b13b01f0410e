#pragma once

#include "platform_instance_state.hpp"

#include <cstddef>
#include <optional>

/// The rows of instances in the platform's store: what they hold, who writes
/// them, and who removes them. Used from one thread.
///
/// The store serializes writes, and hundreds of instances that start together
/// would wait for each other for seconds. So in a fleet with relays these write
/// the rows of the instances that report to them, many at a time.
namespace redwinggw {

/// The instance in \p Row; nothing when the row is not an instance's or cannot
/// be parsed.
std::optional<storage::listed_instance>
instanceOf(const platform::table_row &Row);

/// How many instances the rows hold besides this one, and of those in its zone.
struct listed_count {
  std::size_t All = 0;
  std::size_t InZone = 0;
};
listed_count countListed(const platform_instance_state &State,
                         const platform::table_rows &Rows);

/// Makes sure that this instance gets a row, if \p Rows, a read by it, hold
/// none or an outdated one: writes it, or leaves that to a relay where \p
/// Listed are enough. False when the store did not take the row.
base::task<bool> arrangeRegistration(platform_instance_state &State,
                                     const platform::table_rows &Rows,
                                     listed_count Listed);

/// Writes the row of this instance. False when the store did not take it.
base::task<bool> registerInstance(platform_instance_state &State);

/// Writes the row of this instance if it was left to relays, and none has
/// written it in time.
base::task<void> confirmRegistration(platform_instance_state &State);

/// Writes the rows of the instances that report to this one, a relay, and have
/// none yet. An instance that asks this one for shared reads is registered by
/// it only.
base::task<void> registerOthers(platform_instance_state &State);

/// Removes this instance's row, so that it does not count for majorities and
/// shares any more. Ends the loops.
base::task<void> removeInstance(platform_instance_state &State);

/// Removes the rows of instances that have sent no heartbeat for long, if this
/// instance is the store reader: rows do not expire in the store, and dead
/// instances would count for majorities and shares forever.
base::task<void> removeDeadInstances(platform_instance_state &State);

} // namespace redwinggw
