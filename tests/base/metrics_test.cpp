#include "redwinggw/base/metrics.hpp"

#include <fstream>
#include <set>
#include <sstream>

#include "criterion_test.hpp"

using namespace redwinggw::base;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(metrics, a_quantile_is_within_a_bin_of_the_true_one) {
  histogram Histogram(60);
  for (int Value = 1; Value <= 1000; ++Value)
    observe(Histogram, microseconds(Value * 100));
  constexpr double BinRatio = 1.04;
  for (const double Quantile : {0.01, 0.5, 0.99}) {
    const double True = Quantile * 100'000;
    const auto Seen =
        static_cast<double>(quantile(Histogram, Quantile).count());
    cr_assert(Seen < True * BinRatio);
    cr_assert(Seen > True / BinRatio);
  }
  cr_assert(countOf(Histogram) == 1000);
  cr_assert(quantile(histogram(), 0.5).count() == 0);
}

Test(metrics, durations_outside_the_axis_count_at_its_ends) {
  histogram Histogram;
  observe(Histogram, microseconds(0));
  observe(Histogram, std::chrono::hours(1));
  cr_assert(countOf(Histogram) == 2);
  cr_assert(quantile(Histogram, 0.1) == microseconds(10));
  cr_assert(quantile(Histogram, 1) == std::chrono::seconds(60));
}

Test(metrics, merged_histograms_hold_the_observations_of_both) {
  histogram Left;
  histogram Right;
  observe(Left, microseconds(100));
  observe(Right, microseconds(10'000));
  mergeInto(Left, Right);
  cr_assert(countOf(Left) == 2);
  cr_assert(sumOf(Left) == microseconds(10'100));
  cr_assert(quantile(Left, 1) > microseconds(9'000));
}

Test(metrics, a_handle_stays_valid_while_other_series_are_made) {
  metrics Metrics;
  counter &Reads = counterOf(Metrics, metric::ReadsTotal, {"replica", "yes"});
  for (int Number = 0; Number < 100; ++Number)
    counterOf(Metrics, metric::ReadsTotal, {std::to_string(Number), "no"});
  add(Reads, 3);
  const std::string Text = toPrometheus(Metrics);
  cr_assert(contains(
      Text,
      "redwinggw_reads_total{target=\"replica\",replica_allowed=\"yes\"} 3\n"));
}

Test(metrics, a_histogram_is_exported_with_cumulative_bounds) {
  metrics Metrics;
  histogram &Seconds =
      histogramOf(Metrics, metric::QueueSeconds, {"a\"b\\c\nd"});
  observe(Seconds, std::chrono::milliseconds(250));
  observe(Seconds, std::chrono::hours(1));
  const std::string Text = toPrometheus(Metrics);
  const std::string Label = R"(customer="a\"b\\c\nd")";
  cr_assert(contains(Text, "# TYPE redwinggw_queue_seconds histogram\n"));
  cr_assert(contains(Text, "_bucket{" + Label + ",le=\"60\"} 1\n"));
  cr_assert(contains(Text, "_bucket{" + Label + ",le=\"+Inf\"} 2\n"));
  cr_assert(contains(Text, "_sum{" + Label + "} 3600.25\n"));
}

Test(metrics, the_table_is_in_the_order_of_the_enumeration_and_complete) {
  const auto Table = metricTable();
  cr_assert(Table.size() ==
            static_cast<std::size_t>(metric::ProcessUptimeSeconds) + 1);
  for (std::size_t Index = 0; Index < Table.size(); ++Index) {
    cr_assert(static_cast<std::size_t>(Table[Index].Metric) == Index);
    cr_assert(!Table[Index].Unit.empty());
    cr_assert(!Table[Index].WhenOff.empty());
  }
  const auto Names = names();
  cr_assert(std::set(Names.begin(), Names.end()).size() == Names.size());
}

Test(metrics, the_page_is_that_of_the_table) {
  std::ifstream File(REDWINGGW_SOURCE_DIR "/docs/METRICS.md");
  std::ostringstream Page;
  Page << File.rdbuf();
  cr_assert(Page.str() == metricsPage());
}
