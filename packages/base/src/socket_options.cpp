#include "redwinggw/base/socket_options.hpp"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace redwinggw::base {
namespace {

/// Timeouts after which an unresponsive connection is closed: several round
/// trips between availability zones, and well under a statement's timeout.
constexpr int UnacknowledgedMs = 1500;
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeEverySeconds = 1;
constexpr int ProbesLost = 2;

void setOption(int Socket, int Level, int Name, int Value) {
  // A failure is ignored: the deadline of the request still applies, only
  // later.
  (void)::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

void detectDeadPeer(int NativeHandle) {
  setOption(NativeHandle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(NativeHandle, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMs);
  setOption(NativeHandle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(NativeHandle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds);
  setOption(NativeHandle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeEverySeconds);
  setOption(NativeHandle, IPPROTO_TCP, TCP_KEEPCNT, ProbesLost);
}

bool isQuiet(int NativeHandle) {
  char Byte = 0;
  const auto Read = ::recv(NativeHandle, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace redwinggw::base
