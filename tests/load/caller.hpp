#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

/// The callers' protocol of docs/CALLERS.md over kept connections.
namespace redwinggw::load {

/// An answer as the caller understands it.
struct caller_answer {
  base::outcome Outcome = base::outcome::Unknown;
  /// Kind of the error; empty when done.
  std::string Error;
  boost::json::object Body;

  bool isDone() const { return Outcome == base::outcome::Done; }
};

/// Connections to the instances. Used from one thread.
class caller {
public:
  caller(boost::asio::any_io_executor Executor,
         std::vector<http::address> Instances);

  std::size_t instances() const { return Instances.size(); }

  /// Posts \p Body to \p Target of instance number \p Instance (modulo).
  base::task<caller_answer> post(std::size_t Instance, std::string Target,
                                 std::string Key, boost::json::object Body,
                                 base::instant Deadline);

private:
  boost::asio::any_io_executor Executor;
  std::vector<http::address> Instances;
  /// Idle connections of each instance.
  std::vector<std::vector<http::client>> Idle;
};

/// Whether another instance may serve what this one refused.
bool mayTryAnotherInstance(const caller_answer &Answer);

} // namespace redwinggw::load
