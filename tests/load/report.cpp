#include "report.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw::load {
namespace {

namespace json = boost::json;

constexpr unsigned FineBins = 60;

bool isWrite(request_kind Kind) {
  return Kind == request_kind::Write || Kind == request_kind::Transaction;
}

double secondsOf(microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

microseconds endOf(const request_record &Record) {
  return Record.Arrival.At + Record.Latency;
}

void countOutcome(customer_report &Report, const request_record &Record,
                  const bucket_verdict &Verdict) {
  ++Report.Offered;
  Report.Entitled += Verdict.Entitled ? 1 : 0;
  Report.Inside += Verdict.Inside ? 1 : 0;
  if (Record.Outcome == base::outcome::Done)
    ++Report.Done;
  else if (Record.Outcome == base::outcome::Unknown)
    ++Report.Unknown;
  else {
    ++Report.Refused[Record.Error];
    if (Verdict.Inside)
      ++Report.Wrongful[Record.Error];
  }
}

/// Summarizes one customer. \p Records are those of the customer, ordered by
/// arrival.
customer_report reportOfCustomer(const customer_load &Load,
                                 std::span<const request_record> Records) {
  customer_report Report;
  Report.Name = Load.Name;
  if (Records.empty())
    return Report;
  std::vector<arrival> Arrivals;
  std::ranges::transform(Records, std::back_inserter(Arrivals),
                         &request_record::Arrival);
  const auto Verdicts = judgeArrivals(Load.Rate, Load.Burst, Arrivals);
  base::histogram Latencies(FineBins);
  microseconds Last{0};
  double Spent = 0;
  for (std::size_t Index = 0; Index < Records.size(); ++Index) {
    countOutcome(Report, Records[Index], Verdicts[Index]);
    if (Records[Index].Outcome != base::outcome::Done)
      continue;
    observe(Latencies, Records[Index].Latency);
    Spent += costOf(Records[Index].Arrival.Kind);
    Last = std::max(Last, endOf(Records[Index]));
  }
  const double Bound =
      Load.Burst + Load.Rate * secondsOf(Last - Arrivals.front().At);
  Report.AboveRate = std::max(0.0, Spent - Bound);
  Report.Median = quantile(Latencies, 0.5);
  Report.P99 = quantile(Latencies, 0.99);
  return Report;
}

void countRead(load_report &Report, const request_record &Record) {
  ++Report.ReadsByTarget[Record.ServedBy];
  if (!Record.ReplicaAllowed)
    return;
  ++Report.ReadsAllowed;
  Report.AllowedByReplica += Record.ServedBy == "replica" ? 1 : 0;
}

/// Longest time between two acknowledged writes of \p Service, from the first
/// offered write to the last.
microseconds writeGapOf(const std::vector<request_record> &Records,
                        std::size_t Service) {
  std::vector<microseconds> Times;
  microseconds LastOffered{0};
  for (const request_record &Record : Records) {
    if (Record.Arrival.Service != Service || !isWrite(Record.Arrival.Kind))
      continue;
    if (Times.empty())
      Times.push_back(Record.Arrival.At);
    LastOffered = std::max(LastOffered, Record.Arrival.At);
    if (Record.Outcome == base::outcome::Done)
      Times.push_back(endOf(Record));
  }
  Times.push_back(LastOffered);
  std::ranges::sort(Times);
  microseconds Longest{0};
  for (std::size_t Index = 1; Index < Times.size(); ++Index)
    Longest = std::max(Longest, Times[Index] - Times[Index - 1]);
  return Longest;
}

json::object countsOf(const std::map<std::string, std::uint64_t> &Counts) {
  json::object Object;
  for (const auto &[Name, Count] : Counts)
    Object[Name] = Count;
  return Object;
}

json::object objectOf(const customer_report &Report) {
  return {{"customer", Report.Name},
          {"offered", Report.Offered},
          {"entitled", Report.Entitled},
          {"inside", Report.Inside},
          {"done", Report.Done},
          {"unknown", Report.Unknown},
          {"refused", countsOf(Report.Refused)},
          {"wrongful", countsOf(Report.Wrongful)},
          {"above_rate", Report.AboveRate},
          {"goodput_of_entitled", Report.goodput()},
          {"p50_us", Report.Median.count()},
          {"p99_us", Report.P99.count()}};
}

json::object quantilesOf(const base::histogram &Histogram) {
  return {{"count", countOf(Histogram)},
          {"p50_us", quantile(Histogram, 0.5).count()},
          {"p99_us", quantile(Histogram, 0.99).count()}};
}

} // namespace

double customer_report::goodput() const {
  if (Entitled == 0)
    return 1;
  return std::min(1.0,
                  static_cast<double>(Done) / static_cast<double>(Entitled));
}

std::vector<bucket_verdict> judgeArrivals(double Rate, double Burst,
                                          std::span<const arrival> Arrivals) {
  std::vector<bucket_verdict> Verdicts;
  double Tokens = Burst;
  bool Above = false;
  microseconds Before = Arrivals.empty() ? microseconds(0) : Arrivals[0].At;
  for (const arrival &Arrival : Arrivals) {
    const double Cost = costOf(Arrival.Kind);
    Tokens = std::min(Burst, Tokens + Rate * secondsOf(Arrival.At - Before));
    Before = Arrival.At;
    Above = Above && Tokens < Burst;
    const bool Entitled = Tokens >= Cost;
    Above = Above || !Entitled;
    Tokens -= Entitled ? Cost : 0;
    Verdicts.push_back({Entitled, Entitled && !Above});
  }
  return Verdicts;
}

load_report reportOf(const load_plan &Plan,
                     std::vector<request_record> Records) {
  std::ranges::stable_sort(Records, {}, [](const request_record &Record) {
    return std::pair(Record.Arrival.Customer, Record.Arrival.At);
  });
  load_report Report;
  for (std::size_t Customer = 0; Customer < Plan.Customers.size(); ++Customer) {
    const auto Own = std::ranges::equal_range(
        Records, Customer, {},
        [](const request_record &Record) { return Record.Arrival.Customer; });
    Report.Customers.push_back(
        reportOfCustomer(Plan.Customers[Customer], {Own.begin(), Own.end()}));
  }
  for (const request_record &Record : Records) {
    Report.Retried += Record.Retries;
    if (Record.Outcome != base::outcome::Done)
      continue;
    const bool Write = isWrite(Record.Arrival.Kind);
    observe(Write ? Report.Writes : Report.Reads, Record.Latency);
    if (!Write)
      countRead(Report, Record);
  }
  for (std::size_t Service = 0; Service < Plan.Services.size(); ++Service)
    Report.WriteGaps.push_back(writeGapOf(Records, Service));
  return Report;
}

std::uint64_t wrongfulOf(const load_report &Report) {
  std::uint64_t Sum = 0;
  for (const customer_report &Customer : Report.Customers)
    for (const auto &[Kind, Count] : Customer.Wrongful)
      Sum += Count;
  return Sum;
}

json::value toJson(const load_report &Report) {
  json::array Customers;
  std::ranges::transform(Report.Customers, std::back_inserter(Customers),
                         objectOf);
  json::array Gaps;
  for (const microseconds Gap : Report.WriteGaps)
    Gaps.push_back(Gap.count());
  json::object Violations;
  for (const auto &[Violation, Count] : Report.Violations)
    Violations[violationName(Violation)] = Count;
  return json::object{{"customers", std::move(Customers)},
                      {"reads_by_target", countsOf(Report.ReadsByTarget)},
                      {"reads_allowed", Report.ReadsAllowed},
                      {"allowed_by_replica", Report.AllowedByReplica},
                      {"write_gaps_us", std::move(Gaps)},
                      {"reads", quantilesOf(Report.Reads)},
                      {"writes", quantilesOf(Report.Writes)},
                      {"repeated", Report.Retried},
                      {"violations", std::move(Violations)},
                      {"unchecked", Report.Unchecked}};
}

} // namespace redwinggw::load
