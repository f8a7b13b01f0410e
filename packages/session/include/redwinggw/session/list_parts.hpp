#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A list that exceeds one datagram, sent in parts. Decisions without I/O.
///
/// Parts may be lost, repeated and reordered. A list is complete once all parts
/// of one read have arrived; of two reads the newer one is put together. A list
/// with a lost part is never completed: its receiver gets the next one, or
/// reads the list itself.
namespace redwinggw::session {

struct list_part {
  /// The same for all parts of one read, and higher for a later read.
  std::uint64_t Version = 0;
  std::size_t Part = 0;
  std::size_t Parts = 1;
  std::string Text;
};

/// The parts of the newest read that have arrived. Not thread safe.
struct list_assembly {
  std::uint64_t Version = 0;
  std::vector<std::optional<std::string>> Texts;
};

/// Adds \p Part; returns the texts of all parts in order once none is missing.
/// Ignores parts of an older read and numbers that make no sense. Not thread
/// safe.
std::optional<std::vector<std::string>> addPart(list_assembly &Assembly,
                                                list_part Part);

/// A list by the store's version at its read, and its digest.
struct list_identity {
  std::uint64_t Version = 0;
  std::string Digest;
};

/// Whether the complete list \p Received replaces one of \p HeldVersion. The
/// list that was requested, \p Requested, does whatever its version: an
/// instance that reads the store itself may hold a list that differs from the
/// others' in times that count down, under a higher version. Thread safe.
bool replacesHeld(const list_identity &Received, std::uint64_t HeldVersion,
                  std::string_view Requested);

} // namespace redwinggw::session
