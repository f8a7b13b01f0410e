#include "redwinggw/base/metrics.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace redwinggw::base {
namespace {

using enum metric;
using enum metric_kind;

constexpr std::array Table = std::to_array<metric_row>({
    {RequestsTotal, Counter, "redwinggw_requests_total", "requests",
     "customer,kind,outcome", "Requests answered, by kind and outcome.",
     "Many not_run: see the refusals; many unknown: see the endpoints' "
     "errors."},
    {RefusalsTotal, Counter, "redwinggw_refusals_total", "requests",
     "customer,error", "Requests refused, by the kind of error.",
     "over_rate: raise the customer's rate in the sheet or ask the customer; "
     "overloaded: add slots or instances."},
    {RequestSeconds, Histogram, "redwinggw_request_seconds", "seconds",
     "access,target", "Time from a request's receipt to its answer.",
     "Compare with queue and confirmation times to find the slow step."},
    {ReadsTotal, Counter, "redwinggw_reads_total", "requests",
     "target,replica_allowed", "Reads by where they ran.",
     "Reads that a replica may serve run on the primary: see replica age."},
    {WritesUnknownTotal, Counter, "redwinggw_writes_unknown_total", "requests",
     "group", "Writes answered with an unknown outcome.",
     "Expected during a failover only; else look at the group's endpoints."},
    {ConfirmationSeconds, Histogram, "redwinggw_confirmation_seconds",
     "seconds", "group",
     "Time from a write's commit until enough replicas have it.",
     "A replica is slow or cut off: replace it or take it out of the sheet."},
    {RepeatedTotal, Counter, "redwinggw_repeated_total", "requests", "group",
     "Requests answered from the record of an earlier run.",
     "A steady rise means callers' time limits are too short."},
    {QueueLength, Gauge, "redwinggw_queue_length", "requests", "customer",
     "Requests waiting for a slot.",
     "One customer: it floods; all: the endpoints' slots are too few."},
    {QueueSeconds, Histogram, "redwinggw_queue_seconds", "seconds", "customer",
     "Time that requests waited for a slot.",
     "Uneven over customers within their rates: report it as a fault."},
    {SlotSecondsTotal, Counter, "redwinggw_slot_seconds_total", "seconds",
     "customer", "Time that the customer's statements held slots.",
     "One customer far above the others: look at its statements."},
    {EndpointConnections, Gauge, "redwinggw_endpoint_connections",
     "connections", "endpoint,state", "Connections to endpoints by state.",
     "The sum over instances nears the endpoint's limit: add endpoints."},
    {EndpointConnectsTotal, Counter, "redwinggw_endpoint_connects_total",
     "connections", "endpoint,outcome", "Connections opened to endpoints.",
     "A high rate means connections are lost: check the network path."},
    {EndpointEvictionsTotal, Counter, "redwinggw_endpoint_evictions_total",
     "connections", "endpoint,reason",
     "Idle connections closed, by the reason.",
     "Many replaced: the endpoint accepts fewer connections than its customers "
     "need."},
    {CustomerConnections, Gauge, "redwinggw_customer_connections",
     "connections", "endpoint,customer,state",
     "Connections to endpoints by customer and state.",
     "One customer far above the others: look at its transactions."},
    {RelayedTotal, Counter, "redwinggw_relayed_total", "statements", "failure",
     "Statements run for other instances, by why they were not run.",
     "Many no_connection: the endpoint has too few connections or slots."},
    {ColdRefusalsTotal, Counter, "redwinggw_cold_refusals_total", "statements",
     "endpoint", "Attempts that a cold endpoint did not get in time.",
     "Expected for cold_start_s after an evacuation or a restart only."},
    {EndpointErrorsTotal, Counter, "redwinggw_endpoint_errors_total", "errors",
     "endpoint,error", "Failures of requests to endpoints.",
     "Check the endpoint; take it out of the sheet if it stays."},
    {ReplicaAgeSeconds, Gauge, "redwinggw_replica_age_seconds", "seconds",
     "endpoint", "Upper bound on the age of a replica's data.",
     "Above the stated ages its reads go to the primary: reduce its load."},
    {FailoversTotal, Counter, "redwinggw_failovers_total", "steps",
     "group,step", "Steps of failovers that this instance made.",
     "Claims without ends: endpoints or the store do not answer."},
    {FailoverSeconds, Histogram, "redwinggw_failover_seconds", "seconds",
     "group", "Time from suspicion to the new primary in use.",
     "See the time line for the step that took long."},
    {ConfigurationVersion, Gauge, "redwinggw_configuration_version", "version",
     "", "Version of the configuration in force.",
     "Lower than on other instances: the instance is cut off; replace it."},
    {ConfigurationAgeSeconds, Gauge, "redwinggw_configuration_age_seconds",
     "seconds", "", "Time since the version was known to be current.",
     "Above a few seconds the instance stops serving: check store and peers."},
    {ShareTokens, Gauge, "redwinggw_share_tokens", "requests", "customer",
     "The part of the customer's budget that this instance holds now.",
     "Zero while the customer is inside its rate: check the peers."},
    {ShareTokensTotal, Counter, "redwinggw_share_tokens_total", "requests",
     "customer,step", "Budget given, taken, spent, returned and refused.",
     "Refused inside the rate: check peers and the holder's failovers."},
    {Peers, Gauge, "redwinggw_peers", "instances", "state",
     "Other instances by state as seen here.",
     "Suspected ones: check the network between the zones."},
    {PeerBytesTotal, Counter, "redwinggw_peer_bytes_total", "bytes",
     "direction,kind", "Bytes of messages between instances.",
     "Compare with CAPACITY.md; a rise without load is a fault."},
    {StoreReadsTotal, Counter, "redwinggw_store_reads_total", "requests",
     "service", "Reads from the platform's services.",
     "Compare with CAPACITY.md and the store's limit."},
    {StoreWritesTotal, Counter, "redwinggw_store_writes_total", "requests",
     "service", "Writes to the platform's services.",
     "Compare with CAPACITY.md and the store's limit."},
    {StoreErrorsTotal, Counter, "redwinggw_store_errors_total", "errors",
     "service", "Requests to the platform's services that failed.",
     "The store is down or slow: what is in force stays in force meanwhile."},
    {StoreSeconds, Histogram, "redwinggw_store_seconds", "seconds", "service",
     "Time of requests to the platform's services.",
     "Ask the platform's operators; failovers wait for the store."},
    {CallerConnections, Gauge, "redwinggw_caller_connections", "connections",
     "", "Connections open from callers.",
     "Uneven over instances: check the balancer."},
    {OpenTransactions, Gauge, "redwinggw_open_transactions", "transactions",
     "group", "Transactions that hold a database connection.",
     "Near the connection limit: callers leave transactions open."},
    {TimelineEventsTotal, Counter, "redwinggw_timeline_events_total", "events",
     "", "Events recorded on the time line.",
     "A high rate shortens what the time line holds: read it more often."},
    {ProcessCpuSeconds, Gauge, "redwinggw_process_cpu_seconds", "seconds", "",
     "CPU time of the process since its start.",
     "Compare its slope with CAPACITY.md; add instances when near a core."},
    {ProcessMemoryBytes, Gauge, "redwinggw_process_memory_bytes", "bytes", "",
     "Resident memory of the process.",
     "Compare with CAPACITY.md for the number of caller connections."},
    {ProcessUptimeSeconds, Gauge, "redwinggw_process_uptime_seconds", "seconds",
     "", "Time since the process started.",
     "Small on many instances at once: see their logs for the cause."},
});

std::string_view kindName(metric_kind Kind) {
  switch (Kind) {
  case Counter:
    return "counter";
  case Gauge:
    return "gauge";
  case Histogram:
    return "histogram";
  }
  return "?";
}

} // namespace

std::span<const metric_row> metricTable() { return Table; }

std::vector<std::string_view> names() {
  std::vector<std::string_view> Names;
  std::ranges::transform(Table, std::back_inserter(Names), &metric_row::Name);
  return Names;
}

std::string metricsPage() {
  std::string Page =
      "# Metrics\n\n"
      "Each instance serves these at `GET /operators/metrics` of its "
      "operators' address, "
      "in the\ntext format of Prometheus. Durations lie on a logarithmic axis "
      "from 10 us to\n60 s. The program `metrics_page` prints this page from "
      "the table in\n`metrics_table.cpp`; a test compares the two.\n\n"
      "| metric | kind | unit | labels | meaning | when it is off |\n"
      "|---|---|---|---|---|---|\n";
  for (const metric_row &Row : Table) {
    Page += "| `" + std::string(Row.Name) + "` | ";
    Page += std::string(kindName(Row.Kind)) + " | ";
    Page += std::string(Row.Unit) + " | ";
    Page += std::string(Row.Labels) + " | ";
    Page += std::string(Row.Help) + " | ";
    Page += std::string(Row.WhenOff) + " |\n";
  }
  return Page;
}

} // namespace redwinggw::base
