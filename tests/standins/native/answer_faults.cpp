#include "native/answer_faults.hpp"

namespace redwinggw::standin {
namespace {

bool happens(double Share, std::mt19937_64 &Random) {
  return Share > 0 && std::bernoulli_distribution(Share)(Random);
}

std::size_t drawBelow(std::size_t Limit, std::mt19937_64 &Random) {
  return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
}

} // namespace

bool drawRefusal(const answer_faults &Faults, std::mt19937_64 &Random) {
  return happens(Faults.Refused, Random);
}

answer_plan drawPlan(const answer_faults &Faults, std::size_t Size,
                     std::mt19937_64 &Random) {
  answer_plan Plan;
  if (happens(Faults.Silent, Random))
    Plan.Silent = true;
  else if (happens(Faults.Cut, Random))
    Plan.CutAfter = drawBelow(Size, Random);
  else if (happens(Faults.Repeated, Random))
    Plan.RepeatAfter = base::milliseconds(drawBelow(
        static_cast<std::size_t>(Faults.MaxDelay.count()) + 1, Random));
  return Plan;
}

} // namespace redwinggw::standin
