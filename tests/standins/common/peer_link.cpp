#include "common/peer_link.hpp"

#include "common/fault_proxy.hpp"

#include "redwinggw/base/task.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>
#include <vector>

namespace redwinggw::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxDatagram = std::size_t{64} * 1024;

udp::endpoint endpointOf(const http::address &Address) {
  return {asio::ip::make_address(Address.Host), Address.Port};
}

/// How one peer is reached by the other.
struct peer_side {
  peer_side(const asio::any_io_executor &Executor, const http::address &Peer)
      : Peer(endpointOf(Peer)), Proxy(Executor, Peer),
        Socket(Executor, endpointOf(Proxy.address())) {}

  udp::endpoint Peer;
  fault_proxy Proxy;
  /// Receives what the other one sends to the peer.
  udp::socket Socket;
  bool Cut = false;
};

/// The port of the connections may be in use for datagrams.
std::unique_ptr<peer_side> makeSide(const asio::any_io_executor &Executor,
                                    const http::address &Peer) {
  constexpr int Tries = 20;
  for (int Tried = 0; Tried < Tries; ++Tried) {
    try {
      return std::make_unique<peer_side>(Executor, Peer);
    } catch (const boost::system::system_error &) {
      continue;
    }
  }
  throw std::runtime_error("no port is free");
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<state> {
  base::task<void> relay(std::size_t Receiver);

  std::array<std::unique_ptr<peer_side>, 2> Sides;
  bool Closed = false;
};

/// Delivers datagrams to the peer \p Receiver, from the address at which it
/// reaches their sender.
base::task<void> peer_link::state::relay(std::size_t Receiver) {
  const auto Self = shared_from_this();
  peer_side &To = *Sides.at(Receiver);
  peer_side &From = *Sides.at(1 - Receiver);
  std::vector<char> Buffer(MaxDatagram);
  while (!Closed) {
    udp::endpoint Source;
    const auto [Error, Size] = co_await To.Socket.async_receive_from(
        asio::buffer(Buffer), Source, Token);
    if (Error || From.Cut)
      continue;
    boost::system::error_code Ignored;
    From.Socket.send_to(asio::buffer(Buffer.data(), Size), To.Peer, 0, Ignored);
  }
}

peer_link::peer_link(asio::any_io_executor Executor,
                     std::array<http::address, 2> Peers)
    : State(std::make_shared<state>()) {
  State->Sides = {makeSide(Executor, Peers[0]), makeSide(Executor, Peers[1])};
  for (const std::size_t Receiver : {0, 1})
    asio::co_spawn(Executor, State->relay(Receiver), asio::detached);
}

peer_link::~peer_link() {
  State->Closed = true;
  for (const auto &Side : State->Sides) {
    boost::system::error_code Ignored;
    Side->Socket.close(Ignored);
  }
}

const http::address &peer_link::addressOf(std::size_t Index) const {
  return State->Sides.at(Index)->Proxy.address();
}

void peer_link::cut(std::size_t Sender, bool Cut) {
  peer_side &From = *State->Sides.at(Sender);
  peer_side &To = *State->Sides.at(1 - Sender);
  From.Cut = Cut;
  // Connections to the receiver carry the sender's requests, those to the
  // sender its answers.
  if (Cut) {
    To.Proxy.hold(direction::ToServer);
    From.Proxy.hold(direction::ToClient);
  } else {
    To.Proxy.release(direction::ToServer);
    From.Proxy.release(direction::ToClient);
  }
}

} // namespace redwinggw::standin
