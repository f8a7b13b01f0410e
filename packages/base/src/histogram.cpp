#include "redwinggw/base/metrics.hpp"

#include "histogram_bins.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace redwinggw::base {
namespace {

namespace bh = boost::histogram;

constexpr double LowestMicroseconds = 10;
constexpr double HighestMicroseconds = 60e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

log_axis axisOf(unsigned BinsPerDecade) {
  const double Decades = std::log10(HighestMicroseconds / LowestMicroseconds);
  const auto Bins = static_cast<unsigned>(std::ceil(Decades * BinsPerDecade));
  return {Bins, LowestMicroseconds, HighestMicroseconds};
}

auto makeBins(unsigned BinsPerDecade) {
  return bh::make_histogram_with(std::vector<std::uint64_t>(),
                                 axisOf(BinsPerDecade));
}

} // namespace

struct histogram::state {
  explicit state(unsigned BinsPerDecade)
      : Bins(makeBins(BinsPerDecade)), BinsPerDecade(BinsPerDecade) {}
  decltype(makeBins(1)) Bins;
  unsigned BinsPerDecade;
  std::uint64_t Count = 0;
  std::int64_t Sum = 0;
};

histogram::histogram(unsigned BinsPerDecade)
    : State(std::make_unique<state>(BinsPerDecade)) {}
histogram::histogram(const histogram &Other)
    : State(std::make_unique<state>(*Other.State)) {}
histogram::histogram(histogram &&) noexcept = default;
histogram &histogram::operator=(const histogram &Other) {
  if (this != &Other)
    State = std::make_unique<state>(*Other.State);
  return *this;
}
histogram &histogram::operator=(histogram &&) noexcept = default;
histogram::~histogram() = default;

void observe(histogram &Histogram, microseconds Duration) {
  histogram::state &State = *Histogram.State;
  State.Bins(static_cast<double>(Duration.count()));
  ++State.Count;
  State.Sum += Duration.count();
}

std::uint64_t countOf(const histogram &Histogram) {
  return Histogram.State->Count;
}

microseconds sumOf(const histogram &Histogram) {
  return microseconds(Histogram.State->Sum);
}

microseconds quantile(const histogram &Histogram, double Quantile) {
  const histogram::state &State = *Histogram.State;
  if (State.Count == 0)
    return microseconds(0);
  const double Wanted = Quantile * static_cast<double>(State.Count);
  double Below = 0;
  for (const auto &Bin : bh::indexed(State.Bins, bh::coverage::all)) {
    const auto Here = static_cast<double>(*Bin);
    if (Here > 0 && Below + Here >= Wanted) {
      const double Lower = std::max(Bin.bin().lower(), LowestMicroseconds);
      const double Upper = std::min(Bin.bin().upper(), HighestMicroseconds);
      const double Share = (Wanted - Below) / Here;
      return microseconds(std::llround(Lower * std::pow(Upper / Lower, Share)));
    }
    Below += Here;
  }
  return microseconds(std::llround(HighestMicroseconds));
}

void mergeInto(histogram &To, const histogram &From) {
  To.State->Bins += From.State->Bins;
  To.State->Count += From.State->Count;
  To.State->Sum += From.State->Sum;
}

std::vector<cumulative_bin> cumulativeBins(const histogram &Histogram) {
  constexpr unsigned BoundsPerDecade = 4;
  const histogram::state &State = *Histogram.State;
  const int Step =
      static_cast<int>(std::max(1U, State.BinsPerDecade / BoundsPerDecade));
  std::vector<cumulative_bin> Bins;
  std::uint64_t Below = 0;
  for (const auto &Bin : bh::indexed(State.Bins, bh::coverage::all)) {
    Below += *Bin;
    const int Index = Bin.index();
    const bool Last = Index == State.Bins.axis().size() - 1;
    if (Index < State.Bins.axis().size() && (Last || (Index + 1) % Step == 0))
      Bins.push_back({Bin.bin().upper(), Below});
  }
  return Bins;
}

} // namespace redwinggw::base
