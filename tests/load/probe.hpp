#pragma once

#include "redwinggw/base/metrics.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// Repeats one small read, through an instance or directly to an endpoint, to
/// compare the two in one run.
namespace redwinggw::load {

struct probe_options {
  http::address Address;
  std::size_t Connections = 1;
  base::microseconds Duration{0};
  /// Requests per second over all connections; zero sends the next request as
  /// soon as the previous one is answered (closed loop).
  double Rate = 0;
  /// Service, key and declared read for a probe through an instance. An empty
  /// service sends directly to an endpoint.
  std::string Service;
  std::string Key;
  std::string Read;
  /// Called at the start of the measurement, after the time allowed for
  /// connecting.
  std::function<void()> OnStart;
};

struct probe_report {
  base::histogram Latency{60};
  std::uint64_t Done = 0;
  std::uint64_t Failed = 0;
  base::microseconds Elapsed{0};

  double perSecond() const;
};

base::task<probe_report> probe(boost::asio::any_io_executor Executor,
                               probe_options Options);

} // namespace redwinggw::load
