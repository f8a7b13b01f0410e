#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <map>
#include <vector>

/// Demands in heartbeats as changes in place of whole lists. Decisions without
/// I/O.
///
/// The sender numbers the versions of what it publishes. Each heartbeat tells
/// which version its sender holds of what the receiver publishes, and the next
/// one to it carries the entries that changed after that version: all of them
/// again as long as none of its datagrams has arrived. A receiver that holds
/// nothing gets everything. So a lost heartbeat delays a change by one
/// heartbeat, and the sender keeps nothing for each receiver.
namespace redwinggw::control {

/// When a changed rate is published.
struct publication_limits {
  /// Every change is published at once.
  bool Exact = true;
  /// Otherwise a change by more than this fraction and by more than this many
  /// operations per second is, and any other change after this time. A single
  /// operation adds half an operation per second to a smoothed demand, which
  /// must not count as a change of a small customer.
  double Fraction = 0.5;
  double Rate = 0.6;
  base::milliseconds Interval{1000};
};

/// Whether a rate that was published as \p Published at \p PublishedAt is
/// published again with the value \p Rate.
bool isChangeDue(const publication_limits &Limits, double Published,
                 double Rate, base::instant PublishedAt, base::instant Now);

/// An entry as it was last published. One without demand is kept, since it
/// stands for a removal that a receiver may not know yet.
template <typename Entry> struct published_entry {
  Entry Value;
  /// The version that changed it.
  std::uint32_t Version = 0;
  base::instant At;
};

/// By customer.
template <typename Entry>
using published_list = std::map<std::uint32_t, published_entry<Entry>>;

/// This instance's own demands. Not thread safe.
struct published_demands {
  std::uint32_t Version = 0;
  published_list<wire::demand_report> Demands;
};

/// Sums that a relay passes on. Not thread safe.
struct published_sums {
  std::uint32_t Version = 0;
  /// Of the last published sums.
  std::uint16_t Contributors = 0;
  std::uint16_t NeverSeen = 0;
  published_list<wire::demand_sum> Sums;
  published_list<wire::silent_sum> Silent;
};

/// Publishes \p Demands, each change at once.
void publishDemands(published_demands &Published,
                    const std::vector<wire::demand_report> &Demands,
                    base::instant Now);

/// Publishes \p Digest: rates as \p Limits say, and every change of what silent
/// instances keep, or of the number of instances, together with all rates.
void publishSums(published_sums &Published, const wire::demand_digest &Digest,
                 publication_limits Limits, base::instant Now);

/// Replaces the demands in \p Report by those that changed after version
/// \p Held; 0: the receiver holds none.
void writeDemands(const published_demands &Published, std::uint32_t Held,
                  wire::peer_report &Report);

/// Leaves the demands out of \p Report: the receiver keeps version \p Held.
void leaveDemands(std::uint32_t Held, wire::peer_report &Report);

/// The same as writeDemands for the sums in \p Digest.
void writeSums(const published_sums &Published, std::uint32_t Held,
               wire::demand_digest &Digest);

/// The version of the sums of \p Scope that the sender of \p Report holds.
std::uint32_t heldSums(const wire::peer_report &Report,
                       wire::digest_scope Scope);

/// Sets in \p Report what this instance holds by \p Held, the last report of
/// the receiver as mergeReport returned it.
void writeHeld(const wire::peer_report &Held, wire::peer_report &Report);

/// \p Received with whole lists in place of changes to those of \p Held, the
/// last report of the same process. Changes to a version that \p Held does not
/// have take no effect, and the next heartbeats request the whole list.
wire::peer_report mergeReport(wire::peer_report Held,
                              wire::peer_report Received);

} // namespace redwinggw::control
