#pragma once

/// Options of TCP sockets for connections that other processes may lose track
/// of.
namespace redwinggw::base {

/// Sends small messages at once, and lets unacknowledged bytes and unanswered
/// probes end the connection: something between the two ends may have lost
/// track of it without a reset, and it would stay silent for good.
/// \p NativeHandle is that of an open socket. Thread safe.
void detectSilence(int NativeHandle);

} // namespace redwinggw::base
