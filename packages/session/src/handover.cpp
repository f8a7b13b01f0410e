#include "redwinggw/session/handover.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>

namespace redwinggw::session {
namespace {

constexpr std::array CauseNames = std::to_array<base::enum_name<move_cause>>({
    {move_cause::None, "none"},
    {move_cause::Draining, "draining"},
    {move_cause::Evacuated, "evacuated"},
    {move_cause::Missing, "missing"},
    {move_cause::Unknown, "unknown"},
    {move_cause::Failed, "failed"},
    {move_cause::Unfinished, "unfinished"},
    {move_cause::Superseded, "superseded"},
});

move_cause causeOfUnfinished(const handover_view &View,
                             const handover_limits &Limits, base::instant Now) {
  const bool Stuck = Now - View.Claim->Since > Limits.UnfinishedFor;
  const bool Gone = View.OrdererGoneSince &&
                    Now - *View.OrdererGoneSince > Limits.OrdererGoneFor;
  return Stuck || Gone || View.OrdererReplaced ? move_cause::Unfinished
                                               : move_cause::None;
}

} // namespace

std::string_view moveCauseName(move_cause Cause) {
  return base::nameOf(CauseNames, Cause);
}

bool isSuspect(const endpoint_health &Health, const handover_limits &Limits,
               base::instant Now) {
  return Health.FailingSince && Health.Failures >= Limits.FailuresNeeded &&
         Now - *Health.FailingSince >= Limits.FailingFor;
}

void noteOrderer(std::optional<orderer_silence> &Silence, std::uint64_t Epoch,
                 bool IsUp, base::instant Now) {
  if (IsUp)
    Silence.reset();
  else if (!Silence || Silence->Epoch != Epoch)
    Silence = orderer_silence{Epoch, Now};
}

move_cause causeToMove(const handover_view &View, const handover_limits &Limits,
                       base::instant Now) {
  if (View.Claim != nullptr && View.Claim->Claim.Moving)
    return causeOfUnfinished(View, Limits, Now);
  if (View.Primary.empty())
    return View.UnknownSince && Now - *View.UnknownSince > Limits.UnknownFor
               ? move_cause::Unknown
               : move_cause::None;
  if (View.Superseded)
    return move_cause::Superseded;
  if (View.Entry == nullptr)
    return View.MissingSince && Now - *View.MissingSince > Limits.MissingFor
               ? move_cause::Missing
               : move_cause::None;
  if (View.Entry->Draining)
    return move_cause::Draining;
  if (View.ReplaceableElsewhere)
    return move_cause::Evacuated;
  const std::size_t Needed = suspectsNeeded(Limits, View.Instances);
  return View.Suspects >= Needed && Needed > 0 ? move_cause::Failed
                                               : move_cause::None;
}

std::size_t suspectsNeeded(const handover_limits &Limits,
                           std::size_t Instances) {
  return std::min(Limits.SuspectsNeeded, Instances);
}

suspicion_verdict judgeSuspicion(std::size_t Suspects, std::size_t Instances,
                                 base::milliseconds Answering,
                                 const handover_limits &Limits) {
  if (Suspects < suspectsNeeded(Limits, Instances))
    return suspicion_verdict::Trust;
  return Answering < Limits.SuspicionClearsWithin ? suspicion_verdict::Wait
                                                  : suspicion_verdict::Replace;
}

bool mayPromote(const move_acknowledgements &Acknowledged,
                const handover_limits &Limits, base::instant Now) {
  if (Acknowledged.All)
    return true;
  return Acknowledged.HalfSince &&
         Now - *Acknowledged.HalfSince > Limits.HeartbeatsValidFor &&
         Now - Acknowledged.ClaimedAt > Limits.ReadingValidFor;
}

bool mayKeepOldPrimary(const promotion_start &Old, bool MayBeOrdered) {
  return !MayBeOrdered && Old.Led;
}

} // namespace redwinggw::session
