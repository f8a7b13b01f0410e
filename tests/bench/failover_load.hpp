#pragma once

#include "redwinggw/control/configuration.hpp"
#include "redwinggw/data/group_service.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Several instances (group services) on one executor, each with a writer,
/// against a replica group of real processes.
namespace redwinggw::bench {

struct acknowledged {
  std::int64_t Id = 0;
  base::term_number Term = 0;
  base::instant At;
};

/// What an instance last reported to the others.
struct instance_report {
  base::instant At;
  std::vector<data::suspicion> Suspicions;
};

/// A database connection and the endpoint it goes to.
struct endpoint_connection {
  http::client Client;
  base::endpoint_name Endpoint;
};

struct instance {
  base::instance_name Name;
  storage::store Store;
  std::unique_ptr<data::group_service> Groups;
  instance_report Report;
  std::vector<endpoint_connection> Idle;
  /// Error of the last failed write.
  std::string LastFailure;
  std::map<base::endpoint_name, unsigned> Open;
};

struct load {
  boost::asio::any_io_executor Executor;
  base::group_name Group;
  std::vector<std::unique_ptr<instance>> Instances;
  std::vector<acknowledged> Writes;
  std::int64_t LastId = 0;
  bool Stopping = false;
};

/// Starts \p Count instances and their writers. \p Load must outlive the run of
/// its executor.
void startLoad(load &Load, std::size_t Count, http::address Platform,
               const control::configuration &Configuration);

/// The time between the last write acknowledged in \p Term or earlier and the
/// first one acknowledged in a later term; nothing before that write.
std::optional<base::microseconds> gapAfter(const load &Load,
                                           base::term_number Term);

} // namespace redwinggw::bench
