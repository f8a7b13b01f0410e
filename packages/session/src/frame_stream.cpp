#include "frame_stream.hpp"

#include "redwinggw/base/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <bit>
#include <cstdint>
#include <cstring>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
/// Most messages are far shorter; one read then takes in a whole one.
constexpr std::size_t ReadSize = 2048;

std::array<char, sizeof(std::uint32_t)> lengthBytes(std::size_t Length) {
  return std::bit_cast<std::array<char, sizeof(std::uint32_t)>>(
      static_cast<std::uint32_t>(Length));
}

std::uint32_t readLength(const std::string &Buffer) {
  std::uint32_t Length = 0;
  std::memcpy(&Length, Buffer.data(), sizeof(Length));
  return Length;
}

} // namespace

frame_stream::frame_stream(asio::ip::tcp::socket Given)
    : Socket(std::move(Given)) {
  base::detectDeadPeer(Socket.native_handle());
}

/// Reads until \p Bytes are buffered.
base::task<bool> frame_stream::fill(std::size_t Bytes) {
  while (Buffer.size() < Bytes) {
    const std::size_t Used = Buffer.size();
    Buffer.resize(std::max(Bytes, Used + ReadSize));
    const auto [Error, Size] = co_await Socket.async_read_some(
        asio::buffer(Buffer.data() + Used, Buffer.size() - Used), Token);
    Buffer.resize(Used + Size);
    if (Error)
      co_return false;
  }
  co_return true;
}

base::task<std::optional<std::string>> frame_stream::next() {
  constexpr std::size_t Head = sizeof(std::uint32_t);
  const bool HasHead = co_await fill(Head);
  if (!HasHead)
    co_return std::nullopt;
  const std::uint32_t Length = readLength(Buffer);
  if (Length > LongestFrame)
    co_return std::nullopt;
  const bool HasAll = co_await fill(Head + Length);
  if (!HasAll)
    co_return std::nullopt;
  std::string Message = Buffer.substr(Head, Length);
  Buffer.erase(0, Head + Length);
  co_return Message;
}

base::task<bool> frame_stream::send(std::string_view Bytes) {
  const auto Length = lengthBytes(Bytes.size());
  std::string Whole(Length.data(), Length.size());
  Whole.append(Bytes);
  const auto [Error, Sent] =
      co_await asio::async_write(Socket, asio::buffer(Whole), Token);
  co_return !Error;
}

bool frame_stream::isQuiet() {
  if (!Socket.is_open() || !Buffer.empty())
    return false;
  return base::isQuiet(Socket.native_handle());
}

void frame_stream::close() {
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace redwinggw::session
