#pragma once

/// Options and checks for long-lived TCP connections.
namespace redwinggw::base {

/// Enables TCP keepalive and a limit on unacknowledged data, so that a dead
/// connection is closed: a middlebox between the two ends may have dropped its
/// state without a reset, after which the connection would stay silent forever.
/// Also disables Nagle's algorithm, so that small messages are sent at once.
/// \p NativeHandle is that of an open socket. Thread safe.
void detectDeadPeer(int NativeHandle);

/// Whether the peer of a TCP connection has neither closed it nor sent data
/// that is still unread. \p NativeHandle is that of an open socket. Thread
/// safe.
bool isQuiet(int NativeHandle);

} // namespace redwinggw::base
