#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

/// A client of the callers' protocol (docs/CALLERS.md) that reuses its
/// connections.
namespace redwinggw::load {

/// An answer decoded into outcome, error and body.
struct caller_answer {
  base::outcome Outcome = base::outcome::Unknown;
  /// Error kind; empty when done.
  std::string Error;
  boost::json::object Body;

  bool isDone() const { return Outcome == base::outcome::Done; }
};

/// Connection pools to the instances. Not thread safe.
class caller {
public:
  caller(boost::asio::any_io_executor Executor,
         std::vector<http::address> Instances);

  std::size_t instances() const { return Instances.size(); }

  /// Posts \p Body to path \p Target of instance \p Instance modulo the number
  /// of instances.
  base::task<caller_answer> post(std::size_t Instance, std::string Target,
                                 std::string Key, boost::json::object Body,
                                 base::instant Deadline);

private:
  boost::asio::any_io_executor Executor;
  std::vector<http::address> Instances;
  /// Idle connections of each instance.
  std::vector<std::vector<http::client>> Idle;
};

/// Whether the request did not run and another instance may be able to run it.
bool mayTryAnotherInstance(const caller_answer &Answer);

} // namespace redwinggw::load
