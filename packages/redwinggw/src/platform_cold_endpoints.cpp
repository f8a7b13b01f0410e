#include "platform_connections.hpp"
#include "platform_loops.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// The rows of the platform's store that say which instance may send to a cold
/// endpoint; session/cold_rates.hpp gives the rules.
namespace redwinggw {
namespace {

using base::instant;
using session::permission_step;

constexpr std::string_view ColdPrefix = "cold/";
constexpr base::milliseconds CheckInterval{200};
constexpr session::cold_permission_limits Limits;

/// The row of \p Endpoint as read from the store; nothing if it does not
/// answer.
base::task<std::optional<storage::row>>
readPermission(platform_instance_state &State, std::string Key) {
  std::vector<std::string> Keys{std::move(Key)};
  auto Rows = co_await storage::get(State.Store, std::move(Keys));
  if (!Rows || Rows->empty())
    co_return std::nullopt;
  co_return std::move(Rows->front());
}

base::task<void> writePermission(platform_instance_state &State,
                                 base::endpoint_name Endpoint,
                                 std::uint64_t Version) {
  const std::string Key = std::string(ColdPrefix) + Endpoint;
  storage::commit_request Request;
  Request.Checks.push_back({Key, Version});
  Request.Puts.push_back({Key, State.ColdHolder});
  const instant Sent = base::now();
  const auto Written =
      co_await storage::commit(State.Store, std::move(Request));
  std::optional<std::uint64_t> Now;
  if (Written && !Written->empty())
    Now = Written->front();
  onPermissionWritten(State.ColdPermissions[Endpoint].Permission, Now, Sent);
}

base::task<void> acquirePermission(platform_instance_state &State,
                                   base::endpoint_name Endpoint) {
  const auto Row =
      co_await readPermission(State, std::string(ColdPrefix) + Endpoint);
  if (!Row)
    co_return;
  const auto Version =
      onPermissionRead(State.ColdPermissions[Endpoint].Permission, Row->Version,
                       Row->Value == State.ColdHolder, Limits, base::now());
  if (Version)
    co_await writePermission(State, std::move(Endpoint), *Version);
}

/// Precondition: nothing is sent under the permission any more.
base::task<void> releasePermission(platform_instance_state &State,
                                   base::endpoint_name Endpoint,
                                   std::uint64_t Version) {
  const std::string Key = std::string(ColdPrefix) + Endpoint;
  storage::commit_request Request;
  Request.Checks.push_back({Key, Version});
  Request.Deletes.push_back(Key);
  // If it is not deleted, others wait until it is out of date.
  co_await storage::commit(State.Store, std::move(Request));
}

base::task<void> carryOut(platform_instance_ptr State,
                          base::endpoint_name Endpoint, permission_step Step) {
  const auto Version =
      State->ColdPermissions[Endpoint].Permission.OwnVersion.value_or(0);
  if (Step == permission_step::Read)
    co_await acquirePermission(*State, Endpoint);
  else if (Step == permission_step::Write)
    co_await writePermission(*State, Endpoint, Version);
  else if (Step == permission_step::Release)
    co_await releasePermission(*State, Endpoint, Version);
  held_permission &Held = State->ColdPermissions[Endpoint];
  if (Step == permission_step::Release)
    Held.Permission = {};
  Held.Busy = false;
}

void logChange(held_permission &Held, const session::endpoint_pool &Pool,
               instant Now) {
  const bool Cold = isCold(Pool.cold(), Now);
  if (Cold == Held.WasCold)
    return;
  Held.WasCold = Cold;
  const auto Left = coldTimeLeft(Pool.cold(), Now).count();
  base::logEvent(base::log_level::Info, base::log_part::Endpoints,
                 Cold ? "endpoint_cold" : "endpoint_warm",
                 {{"endpoint", Pool.entry().Name},
                  {"remaining_ms", std::to_string(Left)}});
}

void takeNextStep(const platform_instance_ptr &State,
                  const base::endpoint_name &Endpoint, held_permission &Held,
                  bool Wanted) {
  if (Held.Busy)
    return;
  const permission_step Step =
      nextStep(Held.Permission, Wanted, Limits, base::now());
  if (Step == permission_step::None)
    return;
  Held.Busy = true;
  boost::asio::co_spawn(State->Context, carryOut(State, Endpoint, Step),
                        boost::asio::detached);
}

void checkPermission(const platform_instance_ptr &State,
                     session::endpoint_pool &Pool, bool MaySend) {
  const instant Now = base::now();
  const base::endpoint_name &Endpoint = Pool.entry().Name;
  held_permission &Held = State->ColdPermissions[Endpoint];
  logChange(Held, Pool, Now);
  const bool Wanted = MaySend && isCold(Pool.cold(), Now) &&
                      !Pool.isEvacuated() && isOwn(*State, Endpoint);
  const auto Until = sendUntil(Held.Permission, Limits);
  if (Wanted && Until && Now < *Until)
    permitSending(Pool.cold(), *Until, Now);
  else
    Pool.cold().SendUntil.reset();
  if (!Wanted)
    Held.Permission.RenewedAt.reset();
  takeNextStep(State, Endpoint, Held, Wanted);
}

/// Releases the permissions of endpoints that have left the list, and forgets
/// them afterwards.
void releaseUnlisted(const platform_instance_ptr &State) {
  const instant Now = base::now();
  for (auto &[Endpoint, Held] : State->ColdPermissions) {
    if (findPool(State->Endpoints, Endpoint))
      continue;
    // Connections that are still checked out may send until then.
    const auto Until = sendUntil(Held.Permission, Limits);
    if (!Until || Now >= *Until)
      takeNextStep(State, Endpoint, Held, false);
  }
  std::erase_if(State->ColdPermissions, [&](const auto &Item) {
    return !Item.second.Busy && !Item.second.Permission.OwnVersion &&
           !findPool(State->Endpoints, Item.first);
  });
}

} // namespace

std::optional<session::cold_limits> coldLimits(const settings &Settings) {
  if (!Settings.ColdOvershoot || !Settings.ColdSlack)
    return std::nullopt;
  return session::cold_limits{*Settings.ColdOvershoot, *Settings.ColdSlack};
}

base::task<void> followColdEndpoints(platform_instance_ptr State) {
  if (!coldLimits(State->Settings))
    co_return;
  while (!State->Stopped) {
    const bool MaySend = State->Peers && !State->Draining &&
                         State->Peers->inContactWithMajority(base::now());
    for (const auto &[Name, Pool] : State->Endpoints.Pools)
      checkPermission(State, *Pool, MaySend);
    releaseUnlisted(State);
    co_await pauseWithJitter(*State, CheckInterval);
  }
}

} // namespace redwinggw
