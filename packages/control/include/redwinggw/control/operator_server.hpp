#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/server.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>

/// The server for operators: HTTP/1.1 with JSON bodies. Each request except the
/// one for the metrics must carry `Authorization: Bearer OPERATOR_KEY`.
namespace redwinggw::control {

/// Must be used from one thread, and outlive the run of the executor.
class operator_server {
public:
  /// Handles the JSON object of a request; returns a JSON object or a failure.
  using route = std::function<base::task<base::result<boost::json::object>>(
      boost::json::object)>;
  using status_provider = std::function<boost::json::value()>;

  /// \p OperatorKey must not be empty; with an empty one all requests are
  /// refused.
  operator_server(boost::asio::any_io_executor Executor,
                  std::string OperatorKey);

  /// Registers the handler of POST requests to \p Path; replaces an earlier
  /// one.
  void addRoute(std::string Path, route Route);

  /// Adds the member \p Name to the answer of /operators/status.
  void addStatus(std::string Name, status_provider Provider);

  /// Provider of the answer to GET /operators/metrics, in the Prometheus text
  /// format.
  void setMetrics(std::function<std::string()> Metrics);

  /// Fails with errc::BadSettings; port 0 selects a free port.
  base::result<http::address> listen(const http::address &Address);

  /// Stops accepting connections; requests in progress are answered.
  void drain();

private:
  base::task<http::response> answer(http::request Request);
  base::task<base::result<boost::json::object>> perform(http::request Request);
  boost::json::object status() const;
  bool isAuthorized(const http::request &Request) const;

  std::string OperatorKey;
  std::map<std::string, route, std::less<>> Routes;
  std::map<std::string, status_provider, std::less<>> Providers;
  std::function<std::string()> Metrics;
  http::server Server;
};

} // namespace redwinggw::control
