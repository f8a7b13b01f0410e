#pragma once

#include "plan.hpp"
#include "redwinggw/base/error.hpp"
#include "redwinggw/base/metrics.hpp"
#include "session.hpp"

#include <boost/json/value.hpp>

#include <map>
#include <span>

/// The report of a load run, computed from the records of its requests.
namespace redwinggw::load {

struct request_record {
  arrival Arrival;
  base::outcome Outcome = base::outcome::Unknown;
  /// Error kind; empty when done.
  std::string Error;
  /// From the intended start to the final answer.
  microseconds Latency{0};
  std::string ServedBy;
  bool ReplicaAllowed = false;
  unsigned Retries = 0;
};

/// Whether one ideal token bucket for the whole fleet would admit an arrival,
/// and whether the customer has stayed within its rate and burst.
struct bucket_verdict {
  bool Entitled = false;
  /// Entitled, and every arrival since the bucket was last full was entitled.
  bool Inside = false;
};

/// \p Arrivals must be in ascending order. Thread safe.
std::vector<bucket_verdict> judgeArrivals(double Rate, double Burst,
                                          std::span<const arrival> Arrivals);

struct customer_report {
  std::string Name;
  std::uint64_t Offered = 0;
  std::uint64_t Entitled = 0;
  std::uint64_t Done = 0;
  std::uint64_t Unknown = 0;
  std::map<std::string, std::uint64_t> Refused;
  /// Refusals of requests inside the customer's rate and burst, by error kind.
  std::map<std::string, std::uint64_t> Wrongful;
  std::uint64_t Inside = 0;
  /// Tokens of done requests beyond what rate and burst allow over the run.
  double AboveRate = 0;
  microseconds Median{0};
  microseconds P99{0};

  /// Done divided by entitled, at most one; one when nothing was entitled.
  double goodput() const;
};

struct load_report {
  std::vector<customer_report> Customers;
  std::map<std::string, std::uint64_t> ReadsByTarget;
  std::uint64_t ReadsAllowed = 0;
  std::uint64_t AllowedByReplica = 0;
  /// Longest time without an acknowledged write, for each service.
  std::vector<microseconds> WriteGaps;
  base::histogram Reads{60};
  base::histogram Writes{60};
  std::uint64_t Retried = 0;
  std::map<violation, std::uint64_t> Violations;
  /// Sessions whose counters could not be read at the end; zero in a run that
  /// passes.
  std::uint64_t Unchecked = 0;
};

/// \p Records in any order.
load_report reportOf(const load_plan &Plan,
                     std::vector<request_record> Records);

/// Number of wrongful refusals over all customers.
std::uint64_t wrongfulOf(const load_report &Report);

boost::json::value toJson(const load_report &Report);

} // namespace redwinggw::load
