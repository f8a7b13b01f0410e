#include "redwinggw/data/group_service.hpp"

#include "group_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <ranges>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::failure;

void pollNewMembers(const state_pointer &State, const base::group_name &Name,
                    watched_group &Group) {
  for (const member_view &Member : Group.View.Members) {
    const control::endpoint &Endpoint = Member.Endpoint;
    if (Group.Polled.emplace(Endpoint.Name, Endpoint.Address).second)
      asio::co_spawn(State->Executor, pollMember(State, Name, Endpoint),
                     asio::detached);
  }
}

void pollAll(const state_pointer &State) {
  for (auto &[Name, Group] : State->Groups)
    pollNewMembers(State, Name, Group);
}

void applyGroup(watched_group &Group, const base::group_name &Name,
                const std::vector<control::endpoint> &Endpoints) {
  Group.View.Group = Name;
  setMembers(Group.View, Endpoints);
  std::vector<base::endpoint_name> Names;
  std::ranges::transform(Endpoints, std::back_inserter(Names),
                         &control::endpoint::Name);
  setConfirmMembers(Group.Confirm, Names);
}

} // namespace

watched_group *findGroup(group_service_state &State, std::string_view Name) {
  const auto Found = State.Groups.find(Name);
  return Found == State.Groups.end() ? nullptr : &Found->second;
}

bool hasPrimary(const group_service_state &State, const watched_group &Group) {
  return Group.View.Primary &&
         suspicionOf(Group.Detector, Group.View, State.Options.Detector,
                     base::now()) == suspicion_cause::None;
}

group_service::group_service(asio::any_io_executor Executor,
                             base::instance_name Instance,
                             storage::store &Store, group_options Options)
    : State(std::make_shared<group_service_state>()) {
  State->Executor = std::move(Executor);
  State->Instance = std::move(Instance);
  State->Store = &Store;
  State->Options = Options;
}

group_service::~group_service() {
  // Running coroutines find no group and end.
  State->Groups.clear();
  State->Draining = true;
}

void group_service::apply(const control::configuration &Configuration) {
  const auto Names = control::groupsOf(Configuration);
  std::erase_if(State->Groups, [&](const auto &Entry) {
    return !std::ranges::binary_search(Names, Entry.first);
  });
  for (const base::group_name &Name : Names)
    applyGroup(State->Groups[Name], Name,
               control::endpointsOf(Configuration, Name));
  if (State->Started)
    pollAll(State);
}

void group_service::start() {
  State->Started = true;
  pollAll(State);
  asio::co_spawn(State->Executor, superviseGroups(State), asio::detached);
}

void group_service::drain() { State->Draining = true; }

const group_view &group_service::view(std::string_view Group) const {
  static const group_view Empty;
  const watched_group *Found = findGroup(*State, Group);
  return Found == nullptr ? Empty : Found->View;
}

base::task<base::result<void>>
group_service::confirm(base::group_name Group, base::term_number Term,
                       base::log_position Position, base::instant Deadline,
                       confirm_kind Kind) {
  watched_group *Found = findGroup(*State, Group);
  if (Found == nullptr)
    co_return failure(errc::NotFound, "group " + Group);
  const state_pointer Shared = State;
  const auto Waiting = std::make_shared<pending_wait>(Shared->Executor);
  confirm_waiter Waiter{0, Term, Position, Kind, base::now()};
  confirm_actions Actions = addWaiter(Found->Confirm, Waiter);
  Found->ConfirmationWaits.emplace(Waiter.Id, Waiting);
  perform(Shared, Group, std::move(Actions));
  const auto Outcome = co_await waitFor(Waiting, Deadline);
  if (watched_group *Still = findGroup(*Shared, Group)) {
    Still->ConfirmationWaits.erase(Waiter.Id);
    dropWaiter(Still->Confirm, Waiter.Id);
  }
  if (!Outcome)
    co_return failure(errc::DeadlinePassed, "no confirmation of " + Group);
  co_return *Outcome;
}

base::task<base::result<void>>
group_service::awaitPrimary(base::group_name Group, base::instant Deadline) {
  watched_group *Found = findGroup(*State, Group);
  if (Found == nullptr)
    co_return failure(errc::NotFound, "group " + Group);
  if (hasPrimary(*State, *Found))
    co_return base::result<void>();
  const state_pointer Shared = State;
  const auto Waiting = std::make_shared<pending_wait>(Shared->Executor);
  Found->PrimaryWaits.push_back(Waiting);
  const auto Outcome = co_await waitFor(Waiting, Deadline);
  if (watched_group *Still = findGroup(*Shared, Group))
    std::erase(Still->PrimaryWaits, Waiting);
  if (!Outcome)
    co_return failure(errc::NoPrimary, "group " + Group);
  co_return *Outcome;
}

void group_service::noteTraffic(std::string_view Group,
                                std::string_view Endpoint, bool Answered,
                                base::instant At) {
  watched_group *Found = findGroup(*State, Group);
  if (Found == nullptr)
    return;
  if (!Answered)
    observeFailure(Found->View, Endpoint, At);
  else if (Found->View.Primary == Endpoint)
    noteSuccess(Found->Detector, At);
}

void group_service::noteState(std::string_view Group,
                              const endpoint_state &Reported,
                              base::instant AskedAt) {
  applyState(State, base::group_name(Group), Reported, {}, AskedAt);
}

void group_service::onChange(
    std::function<void(const base::group_name &)> Hook) {
  State->Hooks.push_back(std::move(Hook));
}

void group_service::setPeers(
    std::function<std::vector<peer_report>()> Reports) {
  State->Peers = std::move(Reports);
}

std::vector<suspicion> group_service::suspicions() const {
  std::vector<suspicion> Suspected;
  for (const auto &[Name, Group] : State->Groups)
    if (suspicionOf(Group.Detector, Group.View, State->Options.Detector,
                    base::now()) != suspicion_cause::None)
      Suspected.push_back({Name, Group.View.Term});
  return Suspected;
}

} // namespace redwinggw::data
