#pragma once

#include "redwinggw/ctl/tool.hpp"

#include "tool_options.hpp"

#include <boost/json/value.hpp>

/// Asks instances.
namespace redwinggw::ctl {

/// Whether repeating a request could do its work twice.
enum class effect { ReadOnly, Changes };

/// One instance's answer.
struct instance_answer {
  http::address Address;
  base::result<boost::json::object> Body;
};

struct tool_client {
  const exchange_port &Exchange;
  const tool_options &Options;
};

/// Asks one instance. Fails with errc::EndpointUnreachable, with
/// errc::OutcomeUnknown, and with what the instance refused with.
base::result<boost::json::object> requestOne(const tool_client &Client,
                                             const http::address &Address,
                                             const std::string &Path,
                                             const boost::json::object &Body);

/// Asks the given instances in turn until one answers. After an unknown
/// outcome of a change no other one is asked.
base::result<boost::json::object> requestAny(const tool_client &Client,
                                             const std::string &Path,
                                             const boost::json::object &Body,
                                             effect Effect);

/// Asks all given instances and those on the platform's list.
std::vector<instance_answer> requestAll(const tool_client &Client,
                                        const std::string &Path);

/// Fetches the metrics of the first instance that answers.
base::result<std::string> fetchMetrics(const tool_client &Client);

} // namespace redwinggw::ctl
