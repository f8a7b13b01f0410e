#pragma once

#include "instance.hpp"

#include "redwinggw/base/timeline.hpp"
#include "redwinggw/control/configuration_service.hpp"
#include "redwinggw/control/operator_server.hpp"
#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/control/share_service.hpp"
#include "redwinggw/data/caller_server.hpp"
#include "redwinggw/data/group_service.hpp"
#include "redwinggw/data/statement_core.hpp"
#include "redwinggw/data/transaction_table.hpp"
#include "redwinggw/kernel/life_cycle.hpp"
#include "redwinggw/kernel/registry.hpp"
#include "redwinggw/storage/store.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

/// State and services of one instance that speaks this project's own protocols,
/// in the order of their construction.
namespace redwinggw {

struct instance_state : std::enable_shared_from_this<instance_state> {
  instance_state(boost::asio::io_context &Context, settings Settings,
                 secrets Secrets);

  boost::asio::io_context &Context;
  settings Settings;
  secrets Secrets;
  storage::store Store;
  base::timeline Timeline;
  control::peer_service Peers;
  control::configuration_service Configuration;
  control::share_service Shares;
  data::group_service Groups;
  data::statement_core Statements;
  data::transaction_table Transactions;
  data::caller_server Callers;
  control::operator_server Operators;
  kernel::registry Registry;
  kernel::life_cycle Life;
  control::config_freshness Freshness = control::config_freshness::Isolated;
  /// Number of instances among which the endpoints' connections are divided.
  std::size_t SharedAmong = 0;
};

/// Adds each service to the registry under its name, with the services that it
/// needs.
base::result<void> registerServices(instance_state &State);

/// Sets the callbacks by which the services call each other.
void connectServices(instance_state &State);

/// Adds the operators' pages: status, metrics, time line, and drain, which
/// calls \p Stop.
void addOperatorPages(instance_state &State, std::function<void()> Stop);

/// Copies the counters of the services into the metrics.
void collectMetrics(instance_state &State);

/// How fresh the configuration is now, which decides whether requests may be
/// served by it; logs a change.
control::config_freshness judgeFreshness(instance_state &State);

/// Puts the groups whose primary this instance suspects into the next
/// heartbeats.
void announceSuspicions(instance_state &State);

/// Hands a configuration that came into force to the services.
void applyConfiguration(instance_state &State,
                        const control::configuration &Configuration);

/// Adds an event to the time line.
void recordEvent(instance_state &State, base::event_kind Kind,
                 std::string_view Subject, std::string_view Detail = {},
                 std::string_view RequestId = {});

} // namespace redwinggw
