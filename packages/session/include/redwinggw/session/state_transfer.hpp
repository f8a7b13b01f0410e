#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Transfer of the configuration from one instance to another, for an instance
/// that the store rejects while it still serves the others. It uses the
/// connections for forwarded statements and is sent in chunks, since its size
/// has no limit.
namespace redwinggw::session {

/// The operators' configuration in the form in which the store keeps it.
struct stored_configuration {
  /// Version of its row in the store; 0 if there is none.
  std::uint64_t Row = 0;
  std::shared_ptr<const std::string> Text;
};

struct configuration_request {
  /// Row version of the configuration that the requester already has.
  std::uint64_t Row = 0;
};

struct configuration_chunk {
  /// 0 if no configuration is sent: there is no newer one, or too many
  /// transfers are running.
  std::uint64_t Row = 0;
  std::string Text;
  bool Last = true;
};

/// The chunk of \p Configuration that starts at byte \p Begin. Precondition:
/// \p Begin is within the text. Thread safe.
configuration_chunk chunkAt(const stored_configuration &Configuration,
                            std::size_t Begin);

/// Reassembles the chunks of one configuration, which arrive in order.
struct configuration_assembly {
  /// Row version of the configuration.
  std::uint64_t Row = 0;
  std::string Text;
  bool Complete = false;
};

/// Appends \p Chunk. Returns false if it belongs to another version or if no
/// configuration was sent; the assembly must then be discarded.
bool appendChunk(configuration_assembly &Assembly, configuration_chunk Chunk);

/// Encoding of the messages; see encodeRequest in statement_forwarding.hpp.
/// Thread safe.
std::string encodeConfigurationRequest(std::string_view Secret,
                                       const configuration_request &Value);
std::string encodeConfigurationChunk(std::string_view Secret,
                                     const configuration_chunk &Value);
std::optional<configuration_request>
decodeConfigurationRequest(std::string_view Secret, std::string_view Bytes);
std::optional<configuration_chunk>
decodeConfigurationChunk(std::string_view Secret, std::string_view Bytes);

} // namespace redwinggw::session
