#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Where an instance knows the others' demand from: what each told it, and the
/// sums of relays. Each other instance is part of exactly one source.
namespace redwinggw::control {

/// How recent a source is.
enum class source_state {
  Fresh,
  /// Not heard for a moment: its part of a rate stays as it was.
  Silent,
  /// Silent for long: some of its part may be taken over. So it is with one
  /// that leaves: it serves until the balancer sends nobody any more, and its
  /// part would else be spent twice.
  LongSilent,
  /// Never heard.
  Unknown,
};

/// One instance, or several whose demand a relay has added up.
struct demand_source {
  /// The same as long as it holds the same instances.
  std::string Name;
  source_state State = source_state::Unknown;
  /// How many instances it holds.
  double Instances = 1;
  /// The sums hold this instance's own demand too.
  bool IncludesOwn = false;
  /// An instance that reports here as to its relay.
  bool ReportsHere = false;
  /// One of them, or none for an unknown source. They live as long as the
  /// membership stays as it is.
  const std::vector<wire::demand_report> *Reports = nullptr;
  const wire::demand_digest *Digest = nullptr;
};

/// What a source, or several, have of one customer.
struct source_demand {
  double Rate = 0;
  /// Of silent instances among those that a relay counts.
  double SilentRate = 0;
  double SilentShare = 0;
  double LongSilentShare = 0;
};

/// When a source turns from one state to the next, since it was heard.
struct source_times {
  base::milliseconds FreshFor;
  base::milliseconds LongSilentAfter;
};

/// All sources at \p Now. Valid until \p Membership changes.
std::vector<demand_source> demandSources(const membership &Membership,
                                         const source_times &Times,
                                         base::instant Now);

/// What \p Source tells of the customer with the hash \p Customer; nothing of
/// an unknown source.
source_demand demandFrom(const demand_source &Source, std::uint32_t Customer);

} // namespace redwinggw::control
