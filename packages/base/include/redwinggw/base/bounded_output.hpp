#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Lines to a descriptor that may be a full pipe: never blocks, bounded.
namespace redwinggw::base {

/// Not thread safe.
class bounded_output {
public:
  /// Lines beyond \p Capacity bytes that wait are dropped and counted; the
  /// count is told in a line of its own once there is room again.
  explicit bounded_output(int Descriptor,
                          std::size_t Capacity = std::size_t{256} * 1024);

  void add(std::string_view Line);

  /// Writes what waits, as far as the descriptor takes it now.
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
