#include "figures.hpp"
#include "report.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::load;

namespace {

constexpr std::chrono::seconds Second{1};

arrival at(base::milliseconds Time, std::size_t Customer = 0,
           request_kind Kind = request_kind::SessionRead) {
  return {Time, Customer, 0, Kind};
}

load_plan planFor(double Rate, double Burst) {
  load_plan Plan;
  Plan.Customers = {{"c1", "k", Rate, Burst, Rate}};
  Plan.Services = {"orders"};
  Plan.Duration = Second;
  return Plan;
}

request_record record(arrival Arrival, base::outcome Outcome,
                      std::string Error = {}) {
  request_record Record;
  Record.Arrival = Arrival;
  Record.Outcome = Outcome;
  Record.Error = std::move(Error);
  Record.ServedBy = "primary";
  return Record;
}

} // namespace

Test(plan, the_same_seed_gives_the_same_arrivals_and_about_the_offered_rate) {
  load_plan Plan = planFor(100, 10);
  Plan.Duration = Second * 100;
  const auto First = arrivalsOf(Plan);
  const auto Second = arrivalsOf(Plan);
  cr_assert(std::ranges::equal(First, Second, {}, &arrival::At, &arrival::At));
  cr_assert(First.size() > 9'500);
  cr_assert(First.size() < 10'500);
}

Test(plan, one_customers_flood_moves_no_arrival_of_another) {
  load_plan Plan = planFor(100, 10);
  Plan.Customers.push_back({"c2", "k", 100, 10, 100});
  const auto Normal = arrivalsOf(Plan);
  Plan.Customers[0].Offered = 500;
  const auto Flooded = arrivalsOf(Plan);
  const auto Second = [](const arrival &Arrival) {
    return Arrival.Customer == 1;
  };
  cr_assert(std::ranges::count_if(Normal, Second) ==
            std::ranges::count_if(Flooded, Second));
  cr_assert(Flooded.size() > 2 * Normal.size());
}

// A customer uses up its burst, is refused, and sends again while the bucket
// refills. Only refusals before it exceeded its rate, or after the bucket was
// full again, are wrongful; otherwise a flooding customer would be reported as
// wrongly refused.
Test(report, a_customer_is_inside_again_only_when_its_bucket_was_full) {
  const std::vector<arrival> Arrivals{
      at(base::milliseconds(0)),    at(base::milliseconds(0)),
      at(base::milliseconds(0)),    at(base::milliseconds(100)),
      at(base::milliseconds(1000)), at(base::milliseconds(1000))};
  const auto Verdicts = judgeArrivals(10, 2, Arrivals);
  const std::vector<bool> Entitled{true, true, false, true, true, true};
  const std::vector<bool> Inside{true, true, false, false, true, true};
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    cr_assert(Verdicts[Index].Entitled == Entitled[Index]);
    cr_assert(Verdicts[Index].Inside == Inside[Index]);
  }
}

Test(report, a_refusal_inside_the_rate_is_wrongful_and_one_above_is_not) {
  const auto Refused = base::outcome::NotRun;
  const load_report Report = reportOf(
      planFor(1, 1), {record(at(base::milliseconds(0)), Refused, "over_rate"),
                      record(at(base::milliseconds(1)), Refused, "over_rate")});
  const customer_report &Customer = Report.Customers.front();
  cr_assert(Customer.Refused.at("over_rate") == 2);
  cr_assert(wrongfulOf(Report) == 1);
  cr_assert(Customer.goodput() == 0);
}

Test(report, more_done_than_rate_and_burst_allow_shows) {
  std::vector<request_record> Records;
  Records.reserve(10);
  for (int Number = 0; Number < 10; ++Number)
    Records.push_back(
        record(at(base::milliseconds(Number * 100)), base::outcome::Done));
  const load_report Report = reportOf(planFor(2, 1), Records);
  cr_assert(Report.Customers.front().AboveRate > 7);
  cr_assert(Report.Customers.front().goodput() == 1);
  cr_assert(reportOf(planFor(10, 1), Records).Customers.front().AboveRate == 0);
}

Test(report, the_write_gap_spans_the_time_without_acknowledged_writes) {
  const auto Write = request_kind::Write;
  const load_report Report = reportOf(
      planFor(10, 10),
      {record(at(base::milliseconds(0), 0, Write), base::outcome::Done),
       record(at(base::milliseconds(100), 0, Write), base::outcome::Unknown),
       record(at(base::milliseconds(700), 0, Write), base::outcome::Done),
       record(at(base::milliseconds(800), 0, Write), base::outcome::Done)});
  cr_assert(Report.WriteGaps.front() == base::milliseconds(700));
}

Test(session, each_wrong_counter_is_named) {
  session Session;
  Session.Id = "s";
  Session.Acknowledged = 2;
  Session.Unresolved = 1;
  using row = std::optional<counter_row>;
  const auto Judge = [&Session](const row &Row, bool Final) {
    return checkRow(Session, "c1", Row, Final);
  };
  cr_assert(Judge(row{{"s", "c1", 1}}, false) == violation::StaleRead);
  cr_assert(Judge(std::nullopt, false) == violation::StaleRead);
  cr_assert(Judge(row{{"s", "c1", 1}}, true) == violation::LostWrite);
  cr_assert(Judge(row{{"s", "c1", 4}}, true) == violation::DoubledWrite);
  cr_assert(Judge(row{{"s", "c2", 2}}, false) == violation::WrongCustomer);
  cr_assert(Judge(row{{"t", "c1", 2}}, false) == violation::WrongCustomer);
  cr_assert(!Judge(row{{"s", "c1", 2}}, true));
  cr_assert(!Judge(row{{"s", "c1", 3}}, true));
}

Test(figures, repetitions_become_a_median_with_its_spread) {
  figures Figures;
  for (const double Value : {5.0, 1.0, 3.0, 2.0})
    add(Figures, {"dulciuri", "calm", "p99", "fair"}, "us", Value);
  const spread Spread = spreadOf(Figures.begin()->second);
  cr_assert(Spread.Median == 2.5);
  cr_assert(Spread.Least == 1);
  cr_assert(Spread.Greatest == 5);
  cr_assert(toTable(Figures).find("| 2.5 | 1 | 5 | us | 4 |") !=
            std::string::npos);
  cr_assert(toHtml(Figures).find("<svg") != std::string::npos);
}
