#pragma once

#include "redwinggw/control/configuration_service.hpp"
#include "redwinggw/control/sheet.hpp"

#include "platform/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

/// A stand-in for the platform and the configuration services of two instances,
/// in one process.
namespace redwinggw::testing {

constexpr const char *FleetKey = "fleet";

/// At which point requests to the store are lost.
enum class store_cut { None, All, BeforeCommit, AfterCommit };

struct config_fixture {
  config_fixture()
      : Platform(Context.get_executor(), base::microseconds(0)),
        Server(Context.get_executor(), {},
               [this](http::connection &, http::request Request) {
                 return handle(std::move(Request));
               }),
        Address(Server.listen({"127.0.0.1", 0}).value()),
        Store{Context.get_executor(), Address, "test"}, Left(service()),
        Right(service()) {}

  std::unique_ptr<control::configuration_service> service() {
    control::config_options Options;
    Options.FleetKey = FleetKey;
    Options.RefreshInterval = base::milliseconds(5);
    Options.RetryPause = base::milliseconds(2);
    // Longer than any stall of a busy machine, so that only cuts reach it.
    Options.SubmitTimeout = base::milliseconds(5000);
    return std::make_unique<control::configuration_service>(
        Context.get_executor(), Store, Options);
  }

  static http::response noAnswer() {
    http::response Response;
    Response.Status = 0;
    return Response;
  }

  /// A cut at the commit also loses all requests after it.
  base::task<http::response> handle(http::request Request) {
    const bool Commits = Request.Target == "/table/commit";
    if (Cut == store_cut::All || (Commits && Cut == store_cut::BeforeCommit)) {
      Cut = store_cut::All;
      co_return noAnswer();
    }
    const bool Loses = Commits && Cut == store_cut::AfterCommit;
    auto Response = co_await Platform.handle(std::move(Request));
    if (!Loses)
      co_return Response;
    Cut = store_cut::All;
    co_return noAnswer();
  }

  /// Waits until \p Holds; if it never does, the test runs into its timeout.
  template <typename Condition> base::task<void> until(Condition Holds) {
    while (!Holds()) {
      boost::asio::steady_timer Timer(Context, base::milliseconds(1));
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
  }

  /// Runs \p Scenario with both services started, then stops everything.
  template <typename Coroutine> void run(Coroutine Scenario) {
    Left->start();
    Right->start();
    const auto Whole = [&]() -> base::task<void> {
      co_await Scenario();
      Left->stop();
      Right->stop();
      Server.drain();
    };
    boost::asio::co_spawn(Context, Whole(), [](std::exception_ptr Error) {
      if (Error)
        std::rethrow_exception(Error);
    });
    Context.run();
  }

  boost::asio::io_context Context;
  standin::platform_standin Platform;
  http::server Server;
  http::address Address;
  storage::store Store;
  store_cut Cut = store_cut::None;
  std::unique_ptr<control::configuration_service> Left;
  std::unique_ptr<control::configuration_service> Right;
};

/// A sheet with customers of these names.
inline std::string sheetOf(base::config_version MadeFrom,
                           const std::vector<std::string> &Customers) {
  control::configuration Configuration;
  Configuration.Version = MadeFrom;
  for (const std::string &Name : Customers)
    Configuration.Customers.push_back({Name, 10, 5});
  return control::renderSheet(Configuration);
}

inline bool isKeyInForce(const control::configuration_service &Service,
                         std::string_view Key) {
  return control::findKey(Service.inForce(), FleetKey, Key) != nullptr;
}

} // namespace redwinggw::testing
