#pragma once

#include "platform_claim.hpp"
#include "platform_fleet.hpp"
#include "platform_handover.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_promotion.hpp"

#include "native/simulated_platform.hpp"

#include "redwinggw/control/membership.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Instances on the users' platform in the process of the test, which delivers
/// their heartbeats.
namespace redwinggw::testing {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;
using session::primary_claim;

struct fleet {
  asio::io_context Context;
  standin::simulated_platform Platform;
  /// The services of the promotion orders, as they arrive.
  std::vector<std::string> Orders;
  milliseconds AnswerTime{0};
  http::server Promotions{Context.get_executor(),
                          {},
                          [this](http::connection &, http::request Request)
                              -> base::task<http::response> {
                            const auto Body = boost::json::parse(Request.Body);
                            Orders.emplace_back(Body.at("service").as_string());
                            asio::steady_timer Timer(Context, AnswerTime);
                            co_await Timer.async_wait(asio::use_awaitable);
                            co_return http::response();
                          }};
  http::address PromotionAddress = Promotions.listen({"127.0.0.1", 0}).value();
};

using instance = platform_instance_ptr;

inline const std::vector<std::string> Names{"a", "b", "c"};

/// An instance of a fleet of three that sends no datagrams by itself.
inline instance makeInstance(fleet &Fleet, const std::string &Name) {
  settings Settings;
  Settings.Name = Name;
  Settings.Zone = "z";
  Settings.Peers = {"127.0.0.1", 1};
  Settings.Platform = Fleet.Platform.StoreAddress;
  Settings.Promotions = Fleet.PromotionAddress;
  auto State =
      std::make_shared<platform_instance_state>(Fleet.Context, Settings);
  State->Routes = std::make_shared<session::route_table>();
  control::membership_limits Limits;
  Limits.AcceptUnlisted = true;
  control::config_freshness_limits Freshness;
  Freshness.MaxAge = milliseconds(1000);
  State->Peers = std::make_unique<control::peer_service>(
      Fleet.Context.get_executor(), control::peer_identity{Name, "z", 100, 1},
      Settings.Peers, "secret", State->Store, Limits, Freshness);
  std::vector<storage::listed_instance> Listed;
  for (const std::string &Other : Names) {
    storage::listed_instance &Instance = Listed.emplace_back();
    Instance.Name = Other;
    Instance.Zone = "z";
    Instance.Peers = Settings.Peers;
  }
  State->Peers->setList(Listed);
  return State;
}

inline control::membership &membershipOf(const instance &Instance) {
  return const_cast<control::membership &>(Instance->Peers->view());
}

/// Delivers the present heartbeat of \p From to \p To.
inline void deliver(const instance &From, const instance &To) {
  control::membership &Sender = membershipOf(From);
  control::membership &Receiver = membershipOf(To);
  Sender.LastTick.reset();
  for (const auto &Send : onTick(Sender, base::now())) {
    if (Send.Datagram.Receiver != To->Settings.Name ||
        !admitDatagram(Receiver, Send.Datagram))
      continue;
    onHeartbeat(Receiver, Send.Datagram, base::now());
    const auto &Report = std::get<wire::peer_report>(Send.Datagram.Body);
    for (const wire::group_report &Group : Report.Groups)
      acceptClaim(*To, {Group.Group, Group.Term, Group.Primary, Group.Moving,
                        Group.Orderer, 0, Group.LogTerm, std::nullopt});
    acknowledgeClaims(*To, Report.Version);
  }
}

inline primary_claim claim(std::string Service, std::uint64_t Epoch,
                           bool Moving, std::string Orderer) {
  return {std::move(Service), Epoch, "p", Moving,
          std::move(Orderer), 1,     1,   std::nullopt};
}

/// Everybody knows the primary of "s1", and that \p a moves that of "s2".
inline void beginFleet(const std::vector<instance> &Instances) {
  for (const instance &Instance : Instances) {
    acceptClaim(*Instance, claim("s1", 10, false, "a"));
    acceptClaim(*Instance, claim("s2", 11, true, "a"));
    acknowledgeClaims(*Instance, 11);
    Instance->Peers->noteStoreRead(base::now(), base::now(), 11);
  }
  for (int Round = 0; Round < 2; ++Round)
    for (const instance &From : Instances)
      for (const instance &To : Instances)
        if (From != To)
          deliver(From, To);
  for (const instance &Instance : Instances)
    mayTrustClaims(*Instance);
}

inline bool isAcknowledgedByAll(const instance &Orderer,
                                const primary_claim &Claim) {
  session::move_acknowledgements Acknowledged;
  Acknowledged.ClaimedAt = base::now();
  observeAcknowledgements(*Orderer, Claim, Acknowledged);
  return Acknowledged.All;
}

template <typename T> T runTask(fleet &Fleet, base::task<T> Task) {
  std::optional<T> Result;
  asio::co_spawn(
      Fleet.Context,
      [&]() -> base::task<void> { Result = co_await std::move(Task); },
      asio::detached);
  Fleet.Context.restart();
  while (!Result)
    Fleet.Context.run_one();
  return std::move(*Result);
}

/// Makes \p Instance know \p Claim as its own, which it has just committed.
inline void claimAs(const instance &Instance, const primary_claim &Claim) {
  acceptClaim(*Instance, Claim);
  acknowledgeClaims(*Instance, Claim.Epoch);
}

/// Claims a move as movePrimary does, by an instance that is in touch.
inline std::optional<claimed_move> claimAndAccept(fleet &Fleet,
                                                  const instance &Instance,
                                                  const std::string &Service) {
  runTask(Fleet, readFleet(*Instance));
  // Instances evaluate it all the time.
  mayTrustClaims(*Instance);
  return runTask(Fleet, claimMove(*Instance, Service, "p"));
}

/// Orders the promotion of "d2" for \p Claim once.
inline base::task<void> orderOnce(instance Orderer, primary_claim &Claim) {
  session::order_decision Decision;
  Decision.Step = session::order_step::Order;
  Decision.Endpoint = "d2";
  inquiry_rounds Rounds;
  co_await promote(*Orderer, Claim, std::move(Decision), Rounds);
}

/// Reads of the store go on until \p Ended and show no later claim.
inline base::task<void> stayInTouch(instance Instance, bool &Ended) {
  while (!Ended) {
    const instant Now = base::now();
    Instance->Peers->noteStoreRead(Now, Now, Instance->Claims.CompleteUpTo);
    co_await pauseWithJitter(*Instance, StepPause);
  }
}

/// Orders the promotion of "d2" for \p Claim for 3 s, again whenever there is
/// no answer, and keeps \p Orderer in touch meanwhile.
inline base::task<void> orderInTouch(instance Orderer, primary_claim Claim,
                                     bool &Ended) {
  asio::co_spawn(Orderer->Context, stayInTouch(Orderer, Ended), asio::detached);
  const instant Deadline = base::now() + milliseconds(3000);
  while (base::now() < Deadline) {
    co_await orderOnce(Orderer, Claim);
    co_await pauseWithJitter(*Orderer, 5 * StepPause);
  }
  Ended = true;
}

/// Runs \p Task to its end.
inline void runTask(fleet &Fleet, base::task<void> Task) {
  bool Ended = false;
  asio::co_spawn(Fleet.Context, std::move(Task),
                 [&](const std::exception_ptr &) { Ended = true; });
  Fleet.Context.restart();
  while (!Ended)
    Fleet.Context.run_one();
}

inline void runUntil(fleet &Fleet, const std::function<bool()> &Done) {
  Fleet.Context.restart();
  while (!Done())
    Fleet.Context.run_one();
}

} // namespace redwinggw::testing
