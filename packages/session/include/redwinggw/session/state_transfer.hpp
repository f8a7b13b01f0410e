#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Transfer of a large state from one instance to another: for an instance that
/// the store rejects while it still serves the others, and in a fleet with
/// relays, where the store is read for each zone and not by each instance. It
/// uses the connections for forwarded statements and is sent in chunks, since
/// its size has no limit.
namespace redwinggw::session {

/// What is transferred.
enum class state_kind : std::uint8_t {
  /// The operators' configuration, in the form in which the store keeps it.
  Configuration,
  /// The endpoint list, see endpoint_list.hpp.
  Endpoints,
  /// The list of instances, see instance_list.hpp.
  Instances,
};

/// A state as of one read of the store.
struct transferred_state {
  /// For the configuration the version of its row in the store, otherwise the
  /// store's version at the read; 0 if there is none.
  std::uint64_t Version = 0;
  std::shared_ptr<const std::string> Text;
  /// The version that Text changes, see text_delta.hpp; 0: it is the whole.
  std::uint64_t Base = 0;
};

struct transfer_request {
  /// The version that the requester already has.
  std::uint64_t Version = 0;
  state_kind Kind = state_kind::Configuration;
  /// The requester accepts changes to that version. Not sent: every build that
  /// sends a request in the present form accepts them, others do not.
  bool ReadsDelta = true;
};

struct transfer_chunk {
  /// 0 if nothing is sent: there is no newer state, or too many transfers are
  /// running.
  std::uint64_t Version = 0;
  std::string Text;
  bool Last = true;
  /// The text changes the requested version. Older builds do not send it.
  bool Delta = false;
};

/// The chunk of \p State that starts at byte \p Begin. Precondition: \p Begin
/// is within the text. Thread safe.
transfer_chunk chunkAt(const transferred_state &State, std::size_t Begin);

/// Reassembles the chunks of one state, which arrive in order.
struct transfer_assembly {
  /// The version of the state.
  std::uint64_t Version = 0;
  std::string Text;
  bool Complete = false;
  bool Delta = false;
};

/// Appends \p Chunk. Returns false if it belongs to another version or if
/// nothing was sent; the assembly must then be discarded.
bool appendChunk(transfer_assembly &Assembly, transfer_chunk Chunk);

/// Encoding of the messages; see encodeRequest in statement_forwarding.hpp.
/// Thread safe.
std::string encodeTransferRequest(std::string_view Secret,
                                  const transfer_request &Value);
std::string encodeTransferChunk(std::string_view Secret,
                                const transfer_chunk &Value);
std::optional<transfer_request> decodeTransferRequest(std::string_view Secret,
                                                      std::string_view Bytes);
std::optional<transfer_chunk> decodeTransferChunk(std::string_view Secret,
                                                  std::string_view Bytes);

/// How many transfers an instance sends at a time over a link of \p Mbps
/// megabits per second; 0: not known. The receivers' links are the slowest
/// part, so a faster link serves more of them. An instance that is refused asks
/// another one, which may have received the state from here. Thread safe.
unsigned maxTransfers(double Mbps);

} // namespace redwinggw::session
