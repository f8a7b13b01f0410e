#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/server.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>

/// The server for operators: HTTP/1.1 and JSON. Each request but that for the
/// metrics carries `Authorization: Bearer OPERATOR_KEY`.
namespace redwinggw::control {

/// Used from one thread. Must outlive the run of the executor.
class operator_server {
public:
  /// Answers the JSON object of a request with a JSON object or a failure.
  using route = std::function<base::task<base::result<boost::json::object>>(
      boost::json::object)>;
  using status_provider = std::function<boost::json::value()>;

  /// \p OperatorKey must not be empty; with an empty one all is refused.
  operator_server(boost::asio::any_io_executor Executor,
                  std::string OperatorKey);

  /// Adds what POST requests to \p Path do; replaces an earlier one.
  void addRoute(std::string Path, route Route);

  /// Adds the member \p Name to the answer of /operators/status.
  void addStatus(std::string Name, status_provider Provider);

  /// What GET /operators/metrics answers, in the text format of Prometheus.
  void setMetrics(std::function<std::string()> Metrics);

  /// Fails with errc::BadSettings; port 0 picks a free one.
  base::result<http::address> listen(const http::address &Address);

  /// Stops accepting; requests that run are answered.
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
