#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The configuration as one instance hands it on to another: the store may turn
/// an instance away while it serves the others. It travels over the
/// connections of passed-on statements, in parts, since it has no largest size.
namespace redwinggw::session {

/// The operators' configuration in the form in which the store keeps it.
struct stored_configuration {
  /// Version of its row in the store; 0: none.
  std::uint64_t Row = 0;
  std::shared_ptr<const std::string> Text;
};

struct configuration_request {
  /// Row of the configuration that the asker has.
  std::uint64_t Row = 0;
};

struct configuration_chunk {
  /// 0: there is none to hand on.
  std::uint64_t Row = 0;
  std::string Text;
  bool Last = true;
};

/// The part of \p Configuration that begins at byte \p Begin. Precondition:
/// \p Begin is within the text. Thread safe.
configuration_chunk chunkAt(const stored_configuration &Configuration,
                            std::size_t Begin);

/// Takes the parts of one configuration in their order.
struct configuration_assembly {
  std::uint64_t Row = 0;
  std::string Text;
  bool Complete = false;
};

/// Adds \p Chunk. False when it cannot be of the same configuration, or none is
/// handed on: the assembly is of no use then.
bool appendChunk(configuration_assembly &Assembly, configuration_chunk Chunk);

/// Forms of the messages; see encodeRequest in statement_forwarding.hpp.
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
