#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Buffered line output to a descriptor. Never blocks, also when the descriptor
/// is a full pipe; the buffer is bounded.
namespace redwinggw::base {

/// Not thread safe.
class bounded_output {
public:
  /// Lines that do not fit into the \p Capacity bytes of the buffer are dropped
  /// and counted; a separate line reports the count once there is room again.
  explicit bounded_output(int Descriptor,
                          std::size_t Capacity = std::size_t{256} * 1024);

  void add(std::string_view Line);

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();

  std::uint64_t dropped() const { return Dropped; }
  std::size_t waiting() const { return Buffer.size(); }

private:
  int Descriptor;
  std::size_t Capacity;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDropped = 0;
};

} // namespace redwinggw::base
