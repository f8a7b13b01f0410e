#include "redwinggw/base/bounded_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace redwinggw::base {
namespace {

/// Once poll reports a pipe writable, a write of up to this size does not
/// block.
constexpr std::size_t AtomicWrite = 4096;

bool isWritable(int Descriptor) {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return ::poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

} // namespace

bounded_output::bounded_output(int Descriptor, std::size_t Capacity)
    : Descriptor(Descriptor), Capacity(Capacity) {}

void bounded_output::add(std::string_view Line) {
  if (Buffer.size() + Line.size() + 1 > Capacity) {
    ++Dropped;
    return;
  }
  if (Dropped > ReportedDropped) {
    Buffer.append(R"({"event":"log_lines_dropped","count":)")
        .append(std::to_string(Dropped - ReportedDropped))
        .append("}\n");
    ReportedDropped = Dropped;
  }
  Buffer.append(Line).push_back('\n');
  if (Buffer.size() >= AtomicWrite)
    flush();
}

void bounded_output::flush() {
  std::size_t Written = 0;
  while (Written < Buffer.size() && isWritable(Descriptor)) {
    const std::size_t Size = std::min(AtomicWrite, Buffer.size() - Written);
    const auto Done = ::write(Descriptor, Buffer.data() + Written, Size);
    if (Done <= 0)
      break;
    Written += static_cast<std::size_t>(Done);
  }
  Buffer.erase(0, Written);
}

} // namespace redwinggw::base
