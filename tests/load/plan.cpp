#include "plan.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace redwinggw::load {
namespace {

constexpr std::array ShapeNames = std::to_array<base::enum_name<shape>>({
    {shape::Steady, "steady"},
    {shape::OrderPeak, "order-peak"},
    {shape::FilingDay, "filing-day"},
});

/// Share of the peak rate that is offered at \p Progress (0 to 1) of the run.
double levelAt(shape Shape, double Progress) {
  constexpr double Floor = 0.4;
  constexpr double PeakWidth = 0.2;
  switch (Shape) {
  case shape::Steady:
    return 1;
  case shape::OrderPeak: {
    const double Distance = (Progress - 0.5) / PeakWidth;
    return Floor + (1 - Floor) * std::exp(-Distance * Distance);
  }
  case shape::FilingDay:
    return Floor + (1 - Floor) * Progress;
  }
  return 1;
}

request_kind kindFor(const load_plan &Plan, double Draw) {
  if (Draw < Plan.WriteShare)
    return request_kind::Write;
  Draw -= Plan.WriteShare;
  if (Draw < Plan.TransactionShare)
    return request_kind::Transaction;
  Draw -= Plan.TransactionShare;
  if (Draw < Plan.DeclaredReadShare && !Plan.DeclaredRead.empty())
    return request_kind::DeclaredRead;
  return request_kind::SessionRead;
}

void addArrivals(std::vector<arrival> &Arrivals, const load_plan &Plan,
                 std::size_t Customer) {
  const double Offered = Plan.Customers[Customer].Offered;
  if (Offered <= 0)
    return;
  // A random stream for each customer, so that one customer's flood does not
  // change the arrivals of another.
  std::mt19937_64 Random(Plan.Seed * 1000 + Customer);
  std::exponential_distribution<double> Gap(Offered);
  std::uniform_real_distribution<double> Share(0, 1);
  std::uniform_int_distribution<std::size_t> Service(0,
                                                     Plan.Services.size() - 1);
  const double Seconds = std::chrono::duration<double>(Plan.Duration).count();
  for (double At = Gap(Random); At < Seconds; At += Gap(Random)) {
    // Thinning turns the homogeneous Poisson process into one whose rate
    // follows the shape.
    if (Share(Random) > levelAt(Plan.Shape, At / Seconds))
      continue;
    Arrivals.push_back({microseconds(std::llround(At * 1e6)), Customer,
                        Service(Random), kindFor(Plan, Share(Random))});
  }
}

} // namespace

std::optional<shape> shapeNamed(std::string_view Name) {
  return base::valueOf(ShapeNames, Name);
}

double costOf(request_kind Kind) {
  constexpr double TransactionCost = 3;
  return Kind == request_kind::Transaction ? TransactionCost : 1;
}

std::vector<arrival> arrivalsOf(const load_plan &Plan) {
  std::vector<arrival> Arrivals;
  for (std::size_t Customer = 0; Customer < Plan.Customers.size(); ++Customer)
    addArrivals(Arrivals, Plan, Customer);
  std::ranges::stable_sort(Arrivals, {}, &arrival::At);
  return Arrivals;
}

} // namespace redwinggw::load
