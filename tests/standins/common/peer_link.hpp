#pragma once

#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <array>
#include <cstddef>
#include <memory>

namespace redwinggw::standin {

/// A relay between two instances: their datagrams, and their connections to
/// each other, which use the same port. Each sees the other at an address of
/// the link. Either direction can be cut. Used from one thread.
class peer_link {
public:
  /// \p Peers are the addresses that the two listen at.
  peer_link(boost::asio::any_io_executor Executor,
            std::array<http::address, 2> Peers);
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;
  ~peer_link();

  /// Where the other one reaches the peer \p Index.
  const http::address &addressOf(std::size_t Index) const;

  /// Loses what the peer \p Sender sends, or delivers it again.
  void cut(std::size_t Sender, bool Cut);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
