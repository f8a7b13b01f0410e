#include "redwinggw/base/metrics.hpp"

#include "histogram_bins.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <fstream>
#include <ranges>

namespace redwinggw::base {
namespace {

constexpr double MicrosecondsASecond = 1e6;

/// \p Precision is the number of significant digits; 15 represent integers
/// exactly.
std::string numberText(double Value, int Precision = 15) {
  constexpr std::size_t Digits = 32;
  std::array<char, Digits> Buffer{};
  const auto End = std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(),
                                 Value, std::chars_format::general, Precision)
                       .ptr;
  return {Buffer.data(), End};
}

/// Bounds are rounded to be readable and identical across builds.
std::string boundText(double Microseconds) {
  constexpr int BoundPrecision = 4;
  return numberText(Microseconds / MicrosecondsASecond, BoundPrecision);
}

/// Escapes a label value as the Prometheus text format requires.
std::string escaped(std::string_view Value) {
  std::string Out;
  for (const char Character : Value) {
    if (Character == '\n') {
      Out += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Out += '\\';
    Out += Character;
  }
  return Out;
}

/// name="value" pairs, without braces.
std::string labelText(const metric_row &Row, const label_values &Values) {
  std::string Text;
  auto Value = Values.begin();
  for (const auto Name : std::views::split(Row.Labels, ',')) {
    if (Value == Values.end())
      break;
    if (!Text.empty())
      Text += ',';
    Text.append(Name.begin(), Name.end());
    Text += "=\"";
    Text += escaped(*Value++);
    Text += '"';
  }
  return Text;
}

void putLine(std::string &Out, std::string_view Name, std::string_view Labels,
             double Value) {
  Out += Name;
  if (!Labels.empty()) {
    Out += '{';
    Out += Labels;
    Out += '}';
  }
  Out += ' ';
  Out += numberText(Value);
  Out += '\n';
}

void putHeader(std::string &Out, const metric_row &Row, std::string_view Kind) {
  const std::string Name(Row.Name);
  Out += "# HELP " + Name + " " + std::string(Row.Help) + "\n";
  Out += "# TYPE " + Name + " " + std::string(Kind) + "\n";
}

template <typename Value>
void putScalars(std::string &Out, const metric_row &Row, std::string_view Kind,
                const std::map<metric, metrics::series<Value>> &All) {
  const auto Found = All.find(Row.Metric);
  if (Found == All.end())
    return;
  putHeader(Out, Row, Kind);
  for (const auto &[Values, Series] : Found->second)
    putLine(Out, Row.Name, labelText(Row, Values), Series.Value);
}

void putHistogram(std::string &Out, const metric_row &Row,
                  const label_values &Values, const histogram &Histogram) {
  const std::string Name(Row.Name);
  const std::string Labels = labelText(Row, Values);
  const std::string Prefix = Labels.empty() ? "" : Labels + ",";
  const auto Count = static_cast<double>(countOf(Histogram));
  for (const cumulative_bin &Bin : cumulativeBins(Histogram))
    putLine(Out, Name + "_bucket",
            Prefix + "le=\"" + boundText(Bin.UpperMicroseconds) + "\"",
            static_cast<double>(Bin.Count));
  putLine(Out, Name + "_bucket", Prefix + "le=\"+Inf\"", Count);
  putLine(Out, Name + "_sum", Labels,
          static_cast<double>(sumOf(Histogram).count()) / MicrosecondsASecond);
  putLine(Out, Name + "_count", Labels, Count);
}

void putHistograms(std::string &Out, const metric_row &Row,
                   const metrics &Metrics) {
  const auto Found = Metrics.Histograms.find(Row.Metric);
  if (Found == Metrics.Histograms.end())
    return;
  putHeader(Out, Row, "histogram");
  for (const auto &[Values, Histogram] : Found->second)
    putHistogram(Out, Row, Values, Histogram);
}

double secondsOf(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / MicrosecondsASecond;
}

/// Resident memory, from the second field of /proc/self/statm (pages).
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

void add(counter &Counter, double Amount) { Counter.Value += Amount; }

void set(gauge &Gauge, double Value) { Gauge.Value = Value; }

counter &counterOf(metrics &Metrics, metric Metric, label_values Labels) {
  return Metrics.Counters[Metric][std::move(Labels)];
}

gauge &gaugeOf(metrics &Metrics, metric Metric, label_values Labels) {
  return Metrics.Gauges[Metric][std::move(Labels)];
}

histogram &histogramOf(metrics &Metrics, metric Metric, label_values Labels) {
  return Metrics.Histograms[Metric][std::move(Labels)];
}

std::string toPrometheus(const metrics &Metrics) {
  std::string Out;
  for (const metric_row &Row : metricTable()) {
    putScalars(Out, Row, "counter", Metrics.Counters);
    putScalars(Out, Row, "gauge", Metrics.Gauges);
    putHistograms(Out, Row, Metrics);
  }
  return Out;
}

void observeProcess(metrics &Metrics) {
  static const instant Start = now();
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  set(gaugeOf(Metrics, metric::ProcessCpuSeconds),
      secondsOf(Usage.ru_utime) + secondsOf(Usage.ru_stime));
  set(gaugeOf(Metrics, metric::ProcessMemoryBytes), residentBytes());
  set(gaugeOf(Metrics, metric::ProcessUptimeSeconds),
      std::chrono::duration<double>(now() - Start).count());
}

} // namespace redwinggw::base
