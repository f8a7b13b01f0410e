#pragma once

#include "redwinggw/ctl/tool.hpp"

#include "tool_options.hpp"

#include <boost/json/value.hpp>

/// Requests of the tool to instances.
namespace redwinggw::ctl {

/// Whether a request changes anything, so that repeating it could do so twice.
enum class effect { ReadOnly, Changes };

/// One instance's answer, or why there is none.
struct instance_answer {
  http::address Address;
  base::result<boost::json::object> Body;
};

struct tool_client {
  const exchange_port &Exchange;
  const tool_options &Options;
};

/// Sends a request to one instance. Fails with errc::InstanceUnreachable, with
/// errc::OutcomeUnknown, and with the error that the instance returned.
base::result<boost::json::object> requestOne(const tool_client &Client,
                                             const http::address &Address,
                                             const std::string &Path,
                                             const boost::json::object &Body);

/// Sends a request to the given instances in order until one answers. After an
/// unknown outcome of a change no other instance is tried.
base::result<boost::json::object> requestAny(const tool_client &Client,
                                             const std::string &Path,
                                             const boost::json::object &Body,
                                             effect Effect);

/// Sends a request to all given instances and all on the platform's list.
std::vector<instance_answer> requestAll(const tool_client &Client,
                                        const std::string &Path);

/// Fetches the metrics of the first instance that answers.
base::result<std::string> fetchMetrics(const tool_client &Client);

} // namespace redwinggw::ctl
