#include "redwinggw/session/configuration_transfer.hpp"

#include <utility>

namespace redwinggw::session {
namespace {

/// Small enough to arrive within a chunk's timeout over the slowest link.
constexpr std::size_t ChunkBytes = std::size_t{32} * 1024;

} // namespace

configuration_chunk chunkAt(const stored_configuration &Configuration,
                            std::size_t Begin) {
  configuration_chunk Chunk;
  Chunk.Row = Configuration.Row;
  Chunk.Text = Configuration.Text->substr(Begin, ChunkBytes);
  Chunk.Last = Begin + Chunk.Text.size() == Configuration.Text->size();
  return Chunk;
}

bool appendChunk(configuration_assembly &Assembly, configuration_chunk Chunk) {
  const bool First = Assembly.Row == 0;
  if (Chunk.Row == 0 || (!First && Chunk.Row != Assembly.Row))
    return false;
  Assembly.Row = Chunk.Row;
  Assembly.Text += Chunk.Text;
  Assembly.Complete = Chunk.Last;
  return true;
}

} // namespace redwinggw::session
