#include "redwinggw/base/digest.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/config_in_force.hpp"
#include "redwinggw/control/config_submission.hpp"
#include "redwinggw/control/sheet.hpp"

#include <malloc.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

/// Prints a table of what a configuration costs by its number of customers,
/// each with one key: heap memory while in force, size of the stored row, and
/// the times to apply it, to plan a key change, and to find a key with the
/// index and by a scan. Times are medians over Repeats runs.

using namespace redwinggw;
using namespace redwinggw::control;

namespace {

constexpr int Repeats = 9;
constexpr std::size_t Endpoints = 9;
constexpr std::size_t LookUps = 2'000;
constexpr const char *FleetKey = "fleet";

std::string keyOf(std::size_t Index) {
  return "key-of-customer-" + std::to_string(Index);
}

configuration ofSize(std::size_t Customers) {
  configuration Configuration;
  for (std::size_t Index = 0; Index < Customers; ++Index) {
    const std::string Name = "customer-" + std::to_string(Index);
    const std::string Digest =
        base::toHex(base::hmacSha256(FleetKey, keyOf(Index)));
    Configuration.Customers.push_back({Name, 100, 50});
    Configuration.Keys.push_back(
        {"key-" + std::to_string(Index), Name, Digest});
  }
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    const auto Port = static_cast<std::uint16_t>(7000 + Index);
    Configuration.Endpoints.push_back({"endpoint-" + std::to_string(Index),
                                       "group",
                                       {"127.0.0.1", Port},
                                       "a",
                                       5,
                                       35});
  }
  return Configuration;
}

/// Median time of \p Work in microseconds.
template <typename Callback> double medianOf(Callback Work) {
  std::vector<double> Times;
  for (int Run = 0; Run < Repeats; ++Run) {
    const auto Start = std::chrono::steady_clock::now();
    Work();
    const std::chrono::duration<double, std::micro> Taken =
        std::chrono::steady_clock::now() - Start;
    Times.push_back(Taken.count());
  }
  std::ranges::sort(Times);
  return Times[Times.size() / 2];
}

std::size_t heapInUse() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// Microseconds for one look-up of a known key: the median time of LookUps
/// look-ups divided by their number.
double findTime(const configuration &Configuration) {
  const std::size_t Count = Configuration.Customers.size();
  std::size_t Found = 0;
  const double Total = medianOf([&] {
    for (std::size_t Index = 0; Index < LookUps; ++Index)
      Found += findKey(Configuration, FleetKey, keyOf(Index % Count)) != nullptr
                   ? 1
                   : 0;
  });
  if (Found != LookUps * Repeats)
    std::cerr << "keys were missed\n";
  return Total / LookUps;
}

void measure(std::size_t Customers) {
  config_state State;
  const auto Plan = planSubmission(State, ofSize(Customers), "id", 0);
  const accepted_sheet Stored = std::get<config_commit>(Plan).Sheet;
  const std::string Row = encode(Stored);
  config_in_force InForce;
  const std::size_t Before = heapInUse();
  applyVersion(InForce, configurationOf(Stored).value());
  const std::size_t Memory = heapInUse() - Before;
  const double Apply = medianOf([&] {
    config_in_force Fresh;
    const auto Sheet = sheetOf({"row", 1, Row}).value();
    if (Sheet)
      applyVersion(Fresh, configurationOf(*Sheet).value());
  });
  State.Head = {1, "id", 1};
  State.Sheets = {Stored};
  const config_request Gift =
      key_addition{{"new", "customer-0", std::string(64, 'f')}};
  const double Change =
      medianOf([&] { planSubmission(State, Gift, "other", 0); });
  if (!InForce.Configuration)
    return;
  configuration Unindexed = *InForce.Configuration;
  Unindexed.KeysByDigest.clear();
  std::cout << std::setw(9) << Customers << std::setw(12) << Row.size()
            << std::setw(12) << Memory << std::setw(12) << Apply
            << std::setw(12) << Change << std::setw(12)
            << findTime(*InForce.Configuration) << std::setw(12)
            << findTime(Unindexed) << "\n";
}

} // namespace

int main() {
  std::cout << std::fixed << std::setprecision(2)
            << "customers   row bytes  heap bytes    apply us   change us     "
               "find us     scan us\n";
  for (const std::size_t Customers : {10, 100, 1'000, 10'000})
    measure(Customers);
  return 0;
}
