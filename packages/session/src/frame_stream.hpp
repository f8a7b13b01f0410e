#pragma once

#include "redwinggw/base/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Length-prefixed messages between instances over TCP.
namespace redwinggw::session {

/// The longest message: a caller's of 1 MiB with all its other fields. A longer
/// one ends the connection of its receiver.
constexpr std::uint32_t LongestFrame = std::uint32_t{3} << 20U;

/// Used from one thread; one read and one write at a time.
class frame_stream {
public:
  explicit frame_stream(boost::asio::ip::tcp::socket Socket);

  /// The next complete message; nothing if the connection ended, broke, or
  /// announced a message that is too long.
  base::task<std::optional<std::string>> next();

  /// Sends \p Bytes as one message; false when the connection broke.
  /// Precondition: at most LongestFrame of them.
  base::task<bool> send(std::string_view Bytes);

  /// Whether the other end has neither closed nor sent anything unread.
  bool isQuiet();

  void close();

private:
  base::task<bool> fill(std::size_t Bytes);

  boost::asio::ip::tcp::socket Socket;
  /// What was read and not returned yet.
  std::string Buffer;
};

} // namespace redwinggw::session
