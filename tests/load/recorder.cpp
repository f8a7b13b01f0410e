#include "recorder.hpp"

#include <algorithm>

namespace redwinggw::load {
namespace {

double sumOf(const std::map<std::string, std::uint64_t> &Counts) {
  double Sum = 0;
  for (const auto &[Name, Count] : Counts)
    Sum += static_cast<double>(Count);
  return Sum;
}

} // namespace

double shareOf(double Part, double Whole) {
  return Whole > 0 ? Part / Whole : 0;
}

void recorder::note(std::string Measure, std::string Unit, double Value) {
  add(Environment.Figures,
      {Environment.Deployment.Name, Scenario, std::move(Measure),
       Environment.Policy},
      std::move(Unit), Value);
}

void recorder::noteReads(const load_report &Report) {
  const double Reads = sumOf(Report.ReadsByTarget);
  const auto Replica = Report.ReadsByTarget.find("replica");
  const double AtReplica = Replica == Report.ReadsByTarget.end()
                               ? 0
                               : static_cast<double>(Replica->second);
  note("reads by replicas, of all", "share", shareOf(AtReplica, Reads));
  note("reads by replicas, of allowed", "share",
       shareOf(static_cast<double>(Report.AllowedByReplica),
               static_cast<double>(Report.ReadsAllowed)));
}

void recorder::noteLatencies(const load_report &Report) {
  const auto Note = [this](const std::string &Kind,
                           const base::histogram &Histogram) {
    constexpr double Median = 0.5;
    constexpr double High = 0.99;
    note(Kind + " p50", "us",
         static_cast<double>(quantile(Histogram, Median).count()));
    note(Kind + " p99", "us",
         static_cast<double>(quantile(Histogram, High).count()));
  };
  Note("reads", Report.Reads);
  Note("writes", Report.Writes);
}

void recorder::noteOutcomes(const load_report &Report) {
  double Inside = 0;
  double Unknown = 0;
  double Above = 0;
  std::map<std::string, std::uint64_t> Refused;
  for (const customer_report &Customer : Report.Customers) {
    Inside += static_cast<double>(Customer.Inside);
    Unknown += static_cast<double>(Customer.Unknown);
    Above = std::max(Above, Customer.AboveRate);
    for (const auto &[Kind, Count] : Customer.Refused)
      Refused[Kind] += Count;
  }
  const auto Wrongful = static_cast<double>(wrongfulOf(Report));
  note("wrongful refusals", "requests", Wrongful);
  note("wrongful refusals, of requests inside", "share",
       shareOf(Wrongful, Inside));
  note("left unknown", "requests", Unknown);
  note("done above rate and burst", "requests", Above);
  for (const auto &[Kind, Count] : Refused)
    note("refused: " + Kind, "requests", static_cast<double>(Count));
}

void recorder::noteViolations(const load_report &Report) {
  double Sum = 0;
  for (const auto &[Violation, Count] : Report.Violations) {
    Sum += static_cast<double>(Count);
    note("violation: " + std::string(violationName(Violation)), "answers",
         static_cast<double>(Count));
  }
  note("violations", "answers", Sum);
  note("sessions not checked", "sessions",
       static_cast<double>(Report.Unchecked));
}

void recorder::noteWorst(const load_report &Report) {
  double Goodput = 1;
  base::microseconds Median{0};
  base::microseconds P99{0};
  for (std::size_t Index = 0; Index < Report.Customers.size(); ++Index) {
    const customer_report &Customer = Report.Customers[Index];
    if (Index == Flooding)
      continue;
    Goodput = std::min(Goodput, Customer.goodput());
    Median = std::max(Median, Customer.Median);
    P99 = std::max(P99, Customer.P99);
  }
  note("worst-served customer: done of entitled", "share", Goodput);
  note("worst-served customer: p50", "us", static_cast<double>(Median.count()));
  note("worst-served customer: p99", "us", static_cast<double>(P99.count()));
  WorstP99 = static_cast<double>(P99.count());
}

void recorder::noteAll(const load_report &Report) {
  noteReads(Report);
  noteLatencies(Report);
  noteOutcomes(Report);
  noteViolations(Report);
  noteWorst(Report);
}

} // namespace redwinggw::load
