#include "redwinggw/control/peer_service.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/traffic_limit.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace redwinggw::control {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using base::instant;
using base::milliseconds;

/// Interval between checks whether heartbeats are due; must be shorter than the
/// heartbeat interval.
constexpr milliseconds TickInterval{50};
/// The largest payload of one UDP datagram.
constexpr std::size_t MaxDatagram = 65507;
constexpr std::size_t ReceiveBuffer = std::size_t{1} << 20U;

/// Puts suspect groups first: when not all fit, these matter to the failure
/// detector.
std::vector<wire::group_report> bounded(std::vector<wire::group_report> Reports,
                                        std::size_t Limit) {
  std::ranges::stable_partition(Reports, &wire::group_report::Suspect);
  if (Reports.size() > Limit)
    Reports.resize(Limit);
  return Reports;
}

} // namespace

struct peer_service::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, peer_identity Identity,
        http::address Listen, std::string FleetKey, storage::store &Store,
        membership_limits Limits, config_freshness_limits FreshnessLimits)
      : Executor(Executor), Socket(Executor), TickTimer(Executor),
        ListTimer(Executor), Listen(std::move(Listen)),
        FleetKey(std::move(FleetKey)), Store(Store),
        Membership(makeMembership(std::move(Identity), Limits)) {
    Freshness.Limits = FreshnessLimits;
  }

  base::result<http::address> open();
  void tick();
  void transmit(peer_send Send);
  void receive(std::string_view Bytes, const udp::endpoint &From);
  void sendSharedRead(const member &To,
                      const wire::shared_store_read &SharedRead);
  void relaySharedRead(const member &From,
                       const wire::shared_store_read &SharedRead);
  void sendWaitingReads();
  void close();

  asio::any_io_executor Executor;
  udp::socket Socket;
  asio::steady_timer TickTimer;
  asio::steady_timer ListTimer;
  http::address Listen;
  std::string FleetKey;
  storage::store &Store;
  membership Membership;
  config_freshness_state Freshness;
  peer_traffic Traffic;
  traffic_limit Limit;
  report_handler ReportHandler;
  std::function<void(wire::peer_report &)> Fill;
  shared_read_handler SharedReadHandler;
  std::function<void()> UnlistedHandler;
  share_handler ShareHandler;
  clock_port Clock;
  bool Stopped = false;
};

base::result<http::address> peer_service::state::open() {
  boost::system::error_code Error;
  const auto Host = asio::ip::make_address(Listen.Host, Error);
  const udp::endpoint Endpoint(Host, Listen.Port);
  if (!Error)
    Socket.open(Endpoint.protocol(), Error);
  if (!Error)
    Socket.bind(Endpoint, Error);
  if (Error)
    return base::failure(base::errc::BadSettings, "[listen] peers " +
                                                      toText(Listen) + ": " +
                                                      Error.message());
  // The buffer must hold the heartbeats that arrive while this process is not
  // scheduled. A smaller one works too, so a refusal is not an error.
  Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer),
                    Error);
  Socket.non_blocking(true, Error);
  Listen.Port = Socket.local_endpoint().port();
  return Listen;
}

void peer_service::state::tick() {
  if (Fill && isTickDue(Membership, base::now())) {
    Fill(Membership.Local);
    Membership.LocalAt = base::now();
  }
  for (peer_send &Send : onTick(Membership, base::now()))
    transmit(std::move(Send));
  sendWaitingReads();
}

void peer_service::state::transmit(peer_send Send) {
  if (Stopped)
    return;
  if (Clock.Stamp)
    Send.Datagram.Clock = Clock.Stamp();
  const std::string Bytes = wire::encode(FleetKey, Send.Datagram);
  boost::system::error_code Error;
  const auto Host = asio::ip::make_address(Send.To.Host, Error);
  if (Error)
    return;
  // A full buffer or an unreachable host loses the datagram, like the network
  // itself; the next heartbeat or request replaces it.
  Socket.send_to(asio::buffer(Bytes), udp::endpoint(Host, Send.To.Port), 0,
                 Error);
  countSent(Traffic, kindOf(Send.Datagram), Bytes.size());
  chargeTraffic(Limit, Bytes.size(), base::now());
}

void peer_service::state::receive(std::string_view Bytes,
                                  const udp::endpoint &From) {
  auto Datagram = wire::decode(FleetKey, Bytes);
  countReceived(Traffic,
                Datagram ? kindOf(*Datagram) : peer_message_kind::Invalid,
                Bytes.size());
  if (!Datagram) {
    ++Membership.Counters.UnknownSender;
    return;
  }
  if (!resolveNames(Membership, *Datagram)) {
    const bool Unlisted =
        Datagram->Hashes &&
        findByHash(Membership, Datagram->Hashes->Sender) == nullptr;
    if (Unlisted && UnlistedHandler)
      UnlistedHandler();
    return;
  }
  const bool Listed = findMember(Membership, Datagram->Sender) != nullptr;
  if (!Listed) {
    control::onUnlistedInstance(Membership, *Datagram,
                                {From.address().to_string(), From.port()},
                                base::now());
    if (UnlistedHandler)
      UnlistedHandler();
  }
  if (!admitDatagram(Membership, *Datagram))
    return;
  if (Clock.Observe)
    Clock.Observe(Datagram->Clock);
  if (const auto *Message = std::get_if<wire::share_message>(&Datagram->Body)) {
    recordShareForm(Membership, *Datagram);
    if (ShareHandler)
      ShareHandler(*Datagram, *Message);
    return;
  }
  const member *Member = findMember(Membership, Datagram->Sender);
  if (const auto *Read =
          std::get_if<wire::shared_store_read>(&Datagram->Body)) {
    relaySharedRead(*Member, *Read);
    if (SharedReadHandler)
      SharedReadHandler(*Member, *Read);
    return;
  }
  for (peer_send &Send : onHeartbeat(Membership, *Datagram, base::now()))
    transmit(std::move(Send));
  if (ReportHandler)
    ReportHandler(*Member);
}

void peer_service::state::sendSharedRead(
    const member &To, const wire::shared_store_read &SharedRead) {
  enqueueRead(Limit, {To.Name, SharedRead, base::now()});
  sendWaitingReads();
}

void peer_service::state::sendWaitingReads() {
  while (auto Next = nextRead(Limit, base::now())) {
    const member *To = findMember(Membership, Next->To);
    if (To == nullptr)
      continue;
    peer_send Send{To->Address,
                   nextDatagram(Membership, To->Name, base::now())};
    Send.Datagram.Body = std::move(Next->Read);
    transmit(std::move(Send));
  }
}

/// Relays a shared store read to the instances that this one relays for.
void peer_service::state::relaySharedRead(
    const member &From, const wire::shared_store_read &SharedRead) {
  if (SharedRead.Relayed)
    return;
  wire::shared_store_read Copy = SharedRead;
  Copy.Relayed = true;
  for (const member &Member : Membership.Members)
    if (reportsHere(Member) && Member.Report.WantsSharedReads &&
        Member.Name != From.Name &&
        isInDirectContact(Membership, Member, base::now()))
      sendSharedRead(Member, Copy);
}

void peer_service::state::close() {
  Stopped = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  TickTimer.cancel();
  ListTimer.cancel();
}

namespace {

base::task<void> sleepFor(asio::steady_timer &Timer, milliseconds Time) {
  boost::system::error_code Error;
  Timer.expires_after(Time);
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
}

template <typename State> base::task<void> receiveLoop(State Self) {
  std::vector<char> Buffer(MaxDatagram);
  while (!Self->Stopped) {
    boost::system::error_code Error;
    udp::endpoint From;
    const std::size_t Size = co_await Self->Socket.async_receive_from(
        asio::buffer(Buffer), From,
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Error)
      Self->receive({Buffer.data(), Size}, From);
  }
}

template <typename State> base::task<void> tickLoop(State Self) {
  while (!Self->Stopped) {
    Self->tick();
    co_await sleepFor(Self->TickTimer, TickInterval);
  }
}

/// Polls the instance list. During an outage of the store the last list stays
/// valid: nobody can have joined or left it.
template <typename State> base::task<void> listLoop(State Self) {
  while (!Self->Stopped) {
    const auto Listed = co_await storage::listInstances(Self->Store);
    if (Listed)
      onList(Self->Membership, *Listed, base::now());
    co_await sleepFor(Self->ListTimer, listInterval(Self->Membership));
  }
}

} // namespace

peer_service::peer_service(asio::any_io_executor Executor,
                           peer_identity Identity, http::address Listen,
                           std::string FleetKey, storage::store &Store,
                           membership_limits Limits,
                           config_freshness_limits FreshnessLimits)
    : State(std::make_shared<state>(Executor, std::move(Identity),
                                    std::move(Listen), std::move(FleetKey),
                                    Store, Limits, FreshnessLimits)) {}

peer_service::~peer_service() { stop(); }

base::result<http::address> peer_service::start() {
  auto Address = State->open();
  if (!Address)
    return Address;
  asio::co_spawn(State->Executor, receiveLoop(State), asio::detached);
  asio::co_spawn(State->Executor, tickLoop(State), asio::detached);
  if (State->Store.Driver->ListInstances != nullptr)
    asio::co_spawn(State->Executor, listLoop(State), asio::detached);
  base::log(base::log_level::Info, base::log_part::Peers,
            "Started heartbeats on " + toText(*Address) + ".");
  return Address;
}

void peer_service::drain() {
  for (peer_send &Send : onLeave(State->Membership, base::now()))
    State->transmit(std::move(Send));
}

void peer_service::stop() { State->close(); }

void peer_service::setClock(clock_port Clock) {
  State->Clock = std::move(Clock);
}

void peer_service::setLinkMbps(double Mbps) {
  State->Limit.BytesPerSecond = controlBytesPerSecond(Mbps);
}

void peer_service::setList(
    const std::vector<storage::listed_instance> &Listed) {
  onList(State->Membership, Listed, base::now());
}

void peer_service::setVersion(base::config_version Version) {
  State->Membership.Local.Version = Version;
}

void peer_service::noteStoreRead(instant Sent, instant Answered,
                                 base::config_version Head) {
  onStoreRead(State->Membership, Sent, Answered, Head);
}

void peer_service::noteStoreContact() {
  onStoreContact(State->Membership, base::now());
}

void peer_service::setGroupReports(std::vector<wire::group_report> Reports) {
  State->Membership.Local.Groups = bounded(std::move(Reports), MaxGroupReports);
}

const membership &peer_service::view() const { return State->Membership; }

std::vector<received_group_report>
peer_service::reportsOf(std::string_view Group) const {
  std::vector<received_group_report> Found;
  for (const member &Member : State->Membership.Members)
    for (const wire::group_report &Report : Member.Report.Groups)
      if (Report.Group == Group && Member.ReportAt)
        Found.push_back({Member.Name, Member.Zone, Report, *Member.ReportAt});
  return Found;
}

void peer_service::onReport(report_handler Handler) {
  State->ReportHandler = std::move(Handler);
}

bool peer_service::send(std::string_view Instance,
                        wire::share_message Message) {
  auto Send = shareDatagram(State->Membership, Instance, std::move(Message),
                            base::now());
  if (!Send)
    return false;
  State->transmit(std::move(*Send));
  return true;
}

void peer_service::setHeartbeatFiller(
    std::function<void(wire::peer_report &)> Fill) {
  State->Fill = std::move(Fill);
}

void peer_service::sendHeartbeatsNow() {
  State->Membership.LastTick.reset();
  State->tick();
}

void peer_service::sendSharedRead(const wire::shared_store_read &SharedRead) {
  const membership &Membership = State->Membership;
  if (!usesRelays(Membership)) {
    for (const member &Member : Membership.Members)
      if (Member.State != member_state::Dead)
        State->sendSharedRead(Member, SharedRead);
    return;
  }
  for (const std::size_t Index : allRelays(Membership, base::now()))
    State->sendSharedRead(Membership.Members[Index], SharedRead);
  State->relaySharedRead({}, SharedRead);
}

void peer_service::relaySharedRead(const wire::shared_store_read &SharedRead) {
  State->relaySharedRead({}, SharedRead);
}

void peer_service::markListed(
    const std::vector<base::instance_name> &Instances) {
  control::markListed(State->Membership, Instances);
}

void peer_service::sendSharedReadTo(std::string_view Instance,
                                    wire::shared_store_read SharedRead) {
  SharedRead.Relayed = true;
  if (const member *Member = findMember(State->Membership, Instance))
    State->sendSharedRead(*Member, SharedRead);
}

void peer_service::setAllGroupReports(std::vector<wire::group_report> Reports) {
  State->Membership.Local.Groups = std::move(Reports);
}

void peer_service::setVouchesForOthers(bool Allowed) {
  State->Membership.VouchesForOthers = Allowed;
}

void peer_service::setDigests(wire::fleet_digest Zone,
                              wire::fleet_digest Fleet) {
  State->Membership.ZoneDigest = std::move(Zone);
  State->Membership.FleetDigest = std::move(Fleet);
}

void peer_service::onSharedRead(shared_read_handler Handler) {
  State->SharedReadHandler = std::move(Handler);
}

void peer_service::onUnlistedInstance(std::function<void()> Handler) {
  State->UnlistedHandler = std::move(Handler);
}

void peer_service::onShareMessage(share_handler Handler) {
  State->ShareHandler = std::move(Handler);
}

bool peer_service::inContactWithMajority(instant Now) const {
  return control::inContactWithMajority(State->Membership, Now);
}

bool peer_service::majorityKnows(base::config_version Version) const {
  return control::majorityKnows(State->Membership, Version);
}

config_freshness peer_service::configFreshness(instant Now) {
  return evaluateConfigFreshness(State->Freshness, State->Membership,
                                 State->Membership.Local.Version, Now);
}

const peer_traffic &peer_service::traffic() const { return State->Traffic; }

} // namespace redwinggw::control
