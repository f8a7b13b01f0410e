#pragma once

#include "redwinggw/base/metrics.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// Sends one small read over and over, through an instance or straight to an
/// endpoint, so that the two can be compared in one run.
namespace redwinggw::load {

struct probe_options {
  http::address Address;
  std::size_t Connections = 1;
  base::microseconds Duration{0};
  /// Requests a second over all connections; zero sends the next request as
  /// soon as the last is answered.
  double Rate = 0;
  /// Through an instance: the service, key and declared read. Straight to an
  /// endpoint when the service is empty.
  std::string Service;
  std::string Key;
  std::string Read;
  /// Called when all connections are open and before the first request.
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
