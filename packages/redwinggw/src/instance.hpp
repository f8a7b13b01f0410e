#pragma once

#include "settings.hpp"

#include "redwinggw/base/error.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

/// An instance that speaks this project's own protocols.
namespace redwinggw {

/// Content of the secret files that the settings name.
struct secrets {
  std::string FleetKey;
  std::string OperatorKey;
};

/// All services of the process. Used from the thread that runs the context.
class instance {
public:
  instance(boost::asio::io_context &Context, settings Settings,
           secrets Secrets);
  instance(const instance &) = delete;
  instance &operator=(const instance &) = delete;
  ~instance();

  /// Starts all services. Fails with errc::BadSettings when an address cannot
  /// be bound.
  base::result<void> start();

  /// Begins the graceful shutdown; the context's run returns when it is over.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw
