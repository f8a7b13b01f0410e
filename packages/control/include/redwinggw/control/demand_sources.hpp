#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// The sources of the other instances' demand: what each instance reports, and
/// the sums of relays. Each other instance is part of exactly one source.
namespace redwinggw::control {

/// How recent a source is.
enum class source_state {
  Fresh,
  /// No heartbeat for a moment: its share of a rate stays as it was.
  Silent,
  /// Silent for long: some of its share may be taken over. The same goes for an
  /// instance that leaves: it serves until the balancer sends it nobody any
  /// more, and its share would otherwise be spent twice.
  LongSilent,
  /// No heartbeat was ever received.
  Unknown,
};

/// One instance, or several whose demand a relay has added up.
struct demand_source {
  /// The same as long as the source covers the same instances.
  std::string Name;
  source_state State = source_state::Unknown;
  /// How many instances it covers.
  double Instances = 1;
  /// The sums include this instance's own demand.
  bool IncludesOwn = false;
  /// An instance that reports to this one as its relay.
  bool ReportsHere = false;
  /// One of the two is set, or none for an unknown source. Valid as long as the
  /// membership does not change.
  const std::vector<wire::demand_report> *Reports = nullptr;
  const wire::demand_digest *Digest = nullptr;
};

/// The demand and shares of one customer at a source, or at several.
struct source_demand {
  double Rate = 0;
  /// Of the silent instances among those that a relay counts.
  double SilentRate = 0;
  double SilentShare = 0;
  double LongSilentShare = 0;
};

/// How long after its last heartbeat a source changes state.
struct source_times {
  base::milliseconds FreshFor;
  base::milliseconds LongSilentAfter;
};

/// All sources at \p Now. Valid until \p Membership changes.
std::vector<demand_source> demandSources(const membership &Membership,
                                         const source_times &Times,
                                         base::instant Now);

/// What \p Source reports about the customer with the hash \p Customer; zero
/// for an unknown source.
source_demand demandFrom(const demand_source &Source, std::uint32_t Customer);

} // namespace redwinggw::control
