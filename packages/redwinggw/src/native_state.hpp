#pragma once

#include "native_instance.hpp"

#include "platform/caller_listener.hpp"
#include "platform/row_store.hpp"

#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/control/share_service.hpp"
#include "redwinggw/http/server.hpp"
#include "redwinggw/kernel/life_cycle.hpp"
#include "redwinggw/session/session_core.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>

/// All services of one native process.
namespace redwinggw {

struct native_state : std::enable_shared_from_this<native_state> {
  native_state(boost::asio::io_context &Context, settings Settings);

  boost::asio::io_context &Context;
  settings Settings;
  /// The system's own rows.
  storage::store Store;
  /// Watches and reads of what others write.
  platform::store_client Reader;
  session::route_table_ptr Routes;
  std::uint64_t RoutesRow = 0;
  session::endpoint_set Endpoints;
  session::session_core Core;
  platform::caller_listener Callers;
  http::server Readiness;
  http::server Metrics;
  /// Both exist once the fleet's secret is known.
  std::unique_ptr<control::peer_service> Peers;
  std::unique_ptr<control::share_service> Shares;
  kernel::life_cycle Life;
  std::mt19937_64 Random;
  /// Instances among which the endpoints' connections are divided now.
  std::size_t SharedAmong = 0;
  bool ListRead = false;
  bool Draining = false;
};

using native_ptr = std::shared_ptr<native_state>;

/// Whether callers may be sent here.
bool isReady(const native_state &State);

/// \name Loops, each run as a coroutine until the instance drains
/// @{
/// Makes or reads the fleet's secret, registers this instance, and starts the
/// services that need both.
base::task<void> joinFleet(native_ptr State);
base::task<void> followFleet(native_ptr State);
base::task<void> followConfiguration(native_ptr State);
base::task<void> followEndpoints(native_ptr State);
base::task<void> keepNativeHouse(native_ptr State);
/// @}

/// Divides the endpoints' connections anew.
void divideConnections(native_state &State);

/// The ports of the session core.
session::core_ports nativePorts(native_state &State);

/// Pauses for \p Time, spread by a tenth either way so that instances started
/// together do not act together.
base::task<void> pauseAbout(native_state &State, base::milliseconds Time);

} // namespace redwinggw
