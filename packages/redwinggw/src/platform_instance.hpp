#pragma once

#include "settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

/// An instance on the users' platform, whose protocols platform/ translates.
namespace redwinggw {

struct platform_instance_state;

/// Used from one thread; \p Context must be run after start.
class platform_instance {
public:
  platform_instance(boost::asio::io_context &Context, settings Settings);
  platform_instance(const platform_instance &) = delete;
  platform_instance &operator=(const platform_instance &) = delete;
  ~platform_instance();

  /// Opens the addresses and begins to join the fleet. Fails with
  /// errc::BadSettings when an address cannot be used.
  base::result<void> start();

  /// Begins the graceful shutdown; the context's run returns when it is over.
  void stop();

  /// Applies changed settings while running: the log level only.
  void reload(settings Settings);

private:
  std::shared_ptr<platform_instance_state> State;
};

} // namespace redwinggw
