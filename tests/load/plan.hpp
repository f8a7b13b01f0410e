#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The requests of a load run, computed before it starts (open loop): arrival
/// times do not depend on the answers, so a slow fleet cannot reduce its load.
namespace redwinggw::load {

using base::microseconds;

/// How the offered rate changes over a run; each shape peaks at the full rate.
enum class shape {
  Steady,
  OrderPeak, ///< Rises to a peak in the middle and falls again.
  FilingDay, ///< Rises until the end, which is the filing deadline.
};

std::optional<shape> shapeNamed(std::string_view Name);

enum class request_kind { SessionRead, DeclaredRead, Write, Transaction };

struct customer_load {
  std::string Name;
  std::string Key;
  /// As in the sheet.
  double Rate = 0;
  double Burst = 0;
  /// Requests per second at the shape's peak; a transaction counts as one.
  double Offered = 0;
};

struct load_plan {
  std::vector<customer_load> Customers;
  std::vector<std::string> Services;
  shape Shape = shape::Steady;
  microseconds Duration{0};
  double WriteShare = 0.2;
  double TransactionShare = 0.02;
  double DeclaredReadShare = 0.2;
  /// Name of the declared read in each service; empty sends none.
  std::string DeclaredRead;
  std::uint64_t Seed = 1;
};

struct arrival {
  microseconds At{0};
  std::size_t Customer = 0;
  std::size_t Service = 0;
  request_kind Kind = request_kind::SessionRead;
};

/// Tokens that a request takes from the rate: in a transaction the begin and
/// each run take one.
double costOf(request_kind Kind);

/// Poisson arrivals of all customers, ascending. The same plan gives the same
/// arrivals. Thread safe.
std::vector<arrival> arrivalsOf(const load_plan &Plan);

} // namespace redwinggw::load
