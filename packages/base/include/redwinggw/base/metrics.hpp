#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Metrics of one process, kept in memory and exported on request. Callers look
/// up a series once and keep the reference; counting is then one addition. Not
/// thread safe.
namespace redwinggw::base {

/// All metrics; metricTable() names and describes each.
enum class metric {
  RequestsTotal,
  RefusalsTotal,
  RequestSeconds,
  ReadsTotal,
  WritesUnknownTotal,
  ConfirmationSeconds,
  RepeatedTotal,
  QueueLength,
  QueueSeconds,
  SlotSecondsTotal,
  EndpointConnections,
  EndpointConnectsTotal,
  EndpointEvictionsTotal,
  CustomerConnections,
  RelayedTotal,
  ColdRefusalsTotal,
  EndpointErrorsTotal,
  ReplicaAgeSeconds,
  FailoversTotal,
  FailoverSeconds,
  ConfigurationVersion,
  ConfigurationAgeSeconds,
  ShareTokens,
  ShareTokensTotal,
  Peers,
  PeerBytesTotal,
  StoreReadsTotal,
  StoreWritesTotal,
  StoreErrorsTotal,
  StoreSeconds,
  CallerConnections,
  OpenTransactions,
  TimelineEventsTotal,
  ProcessCpuSeconds,
  ProcessMemoryBytes,
  ProcessUptimeSeconds,
};

enum class metric_kind { Counter, Gauge, Histogram };

/// One row of the table of metrics.
struct metric_row {
  metric Metric;
  metric_kind Kind;
  std::string_view Name;
  std::string_view Unit;
  /// Names of the labels, separated by commas.
  std::string_view Labels;
  std::string_view Help;
  /// What an operator does when the value is abnormal.
  std::string_view WhenOff;
};

/// All metrics, in the order of the enumeration. Thread safe.
std::span<const metric_row> metricTable();

/// The names of all metrics. Thread safe.
std::vector<std::string_view> names();

/// The text of docs/METRICS.md, generated from the table. Thread safe.
std::string metricsPage();

struct counter {
  double Value = 0;
};

struct gauge {
  double Value = 0;
};

/// Durations in logarithmic bins from 10 us to 60 s, using Boost.Histogram.
/// Shorter and longer ones are counted at the ends of this range.
class histogram {
public:
  explicit histogram(unsigned BinsPerDecade = DefaultBinsPerDecade);
  histogram(const histogram &);
  histogram(histogram &&) noexcept;
  histogram &operator=(const histogram &);
  histogram &operator=(histogram &&) noexcept;
  ~histogram();

  static constexpr unsigned DefaultBinsPerDecade = 20;

  struct state;
  std::unique_ptr<state> State;
};

void add(counter &Counter, double Amount = 1);
void set(gauge &Gauge, double Value);
void observe(histogram &Histogram, microseconds Duration);

/// Number of durations observed.
std::uint64_t countOf(const histogram &Histogram);

/// Sum of the durations observed.
microseconds sumOf(const histogram &Histogram);

/// Estimates the quantile \p Quantile (0 to 1), with an error of at most one
/// bin; zero if nothing was observed.
microseconds quantile(const histogram &Histogram, double Quantile);

/// Adds the observations of \p From to \p To. Precondition: the same bins.
void mergeInto(histogram &To, const histogram &From);

/// Values of a metric's labels, in the order of its row in metricTable().
using label_values = std::vector<std::string>;

/// All series of a process. References to a series stay valid as long as this
/// object exists.
struct metrics {
  template <typename Value> using series = std::map<label_values, Value>;
  std::map<metric, series<counter>> Counters;
  std::map<metric, series<gauge>> Gauges;
  std::map<metric, series<histogram>> Histograms;
};

/// Returns the series of \p Metric with these label values; the first call
/// creates it.
/// Preconditions: \p Metric is of that kind; one value for each label.
counter &counterOf(metrics &Metrics, metric Metric, label_values Labels = {});
gauge &gaugeOf(metrics &Metrics, metric Metric, label_values Labels = {});
histogram &histogramOf(metrics &Metrics, metric Metric,
                       label_values Labels = {});

/// All series in the Prometheus text format.
std::string toPrometheus(const metrics &Metrics);

/// Updates the gauges of the process itself: CPU time, resident memory (from
/// /proc/self) and uptime.
void observeProcess(metrics &Metrics);

} // namespace redwinggw::base
