#pragma once

#include "plan.hpp"
#include "redwinggw/base/error.hpp"
#include "redwinggw/base/metrics.hpp"
#include "session.hpp"

#include <boost/json/value.hpp>

#include <map>
#include <span>

/// The figures of a load run, worked out from the record of each request.
namespace redwinggw::load {

struct request_record {
  arrival Arrival;
  base::outcome Outcome = base::outcome::Unknown;
  /// Kind of the refusal; empty when done.
  std::string Error;
  /// From the intended start to the final answer.
  microseconds Latency{0};
  std::string ServedBy;
  bool ReplicaAllowed = false;
  unsigned Retries = 0;
};

/// Whether an ideal token bucket over the whole fleet would let an arrival
/// through, and whether the customer has kept inside its rate and burst.
struct bucket_verdict {
  bool Entitled = false;
  /// Entitled, and no arrival was above since the bucket was last full.
  bool Inside = false;
};

/// \p Arrivals ascend. Thread safe.
std::vector<bucket_verdict> judgeArrivals(double Rate, double Burst,
                                          std::span<const arrival> Arrivals);

struct customer_report {
  std::string Name;
  std::uint64_t Offered = 0;
  std::uint64_t Entitled = 0;
  std::uint64_t Done = 0;
  std::uint64_t Unknown = 0;
  std::map<std::string, std::uint64_t> Refused;
  /// Refusals of requests inside the customer's rate and burst, by kind.
  std::map<std::string, std::uint64_t> Wrongful;
  std::uint64_t Inside = 0;
  /// Requests done above rate and burst over the whole run.
  double AboveRate = 0;
  microseconds Median{0};
  microseconds P99{0};

  /// Done over entitled, at most one; one when nothing was offered.
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
  /// What could not be checked at the end; a pass needs this to be zero.
  std::uint64_t Unchecked = 0;
};

/// \p Records in any order.
load_report reportOf(const load_plan &Plan,
                     std::vector<request_record> Records);

/// Wrongful refusals of all customers.
std::uint64_t wrongfulOf(const load_report &Report);

boost::json::value toJson(const load_report &Report);

} // namespace redwinggw::load
