#include "redwinggw/session/state_transfer.hpp"

#include <algorithm>
#include <utility>

namespace redwinggw::session {
namespace {

/// Small enough to arrive within a chunk's timeout over the slowest link.
constexpr std::size_t ChunkBytes = std::size_t{32} * 1024;

} // namespace

transfer_chunk chunkAt(const transferred_state &State, std::size_t Begin) {
  transfer_chunk Chunk;
  Chunk.Version = State.Version;
  Chunk.Text = State.Text->substr(Begin, ChunkBytes);
  Chunk.Last = Begin + Chunk.Text.size() == State.Text->size();
  Chunk.Delta = State.Base != 0;
  return Chunk;
}

bool appendChunk(transfer_assembly &Assembly, transfer_chunk Chunk) {
  const bool First = Assembly.Version == 0;
  if (Chunk.Version == 0 || (!First && Chunk.Version != Assembly.Version))
    return false;
  Assembly.Version = Chunk.Version;
  Assembly.Text += Chunk.Text;
  Assembly.Complete = Chunk.Last;
  Assembly.Delta = Chunk.Delta;
  return true;
}

unsigned maxTransfers(double Mbps) {
  constexpr unsigned Min = 2;
  /// The part of the link that control traffic may use, over links as slow as
  /// those of the smallest machines.
  constexpr double MbpsOfTransfer = 40;
  return std::max(Min, static_cast<unsigned>(Mbps / MbpsOfTransfer));
}

} // namespace redwinggw::session
