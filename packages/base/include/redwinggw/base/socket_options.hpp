#pragma once

/// TCP connections that are kept open, and that others may lose track of.
namespace redwinggw::base {

/// Sends small messages at once, and lets unacknowledged bytes and unanswered
/// probes end the connection: something between the two ends may have lost
/// track of it without a reset, and it would stay silent for good.
/// \p NativeHandle is that of an open socket. Thread safe.
void detectDeadPeer(int NativeHandle);

/// Whether the other end of a TCP connection has neither closed it nor sent
/// anything that is unread. \p NativeHandle is that of an open socket. Thread
/// safe.
bool isQuiet(int NativeHandle);

} // namespace redwinggw::base
