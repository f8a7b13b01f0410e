#include "redwinggw/session/endpoint_list.hpp"
#include "redwinggw/session/list_changes.hpp"

#include <algorithm>
#include <random>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

endpoint_entry entry(std::size_t Index, std::int64_t StartedAt = 1) {
  endpoint_entry Entry;
  Entry.Name = "e" + std::to_string(Index);
  Entry.Service = "ledger";
  Entry.Address = {"10.1.0.1", 8080};
  Entry.Zone = "z1";
  Entry.StartedAt = StartedAt;
  return Entry;
}

std::vector<endpoint_entry> randomList(std::mt19937 &Random) {
  std::vector<endpoint_entry> List;
  for (std::size_t Index = 0; Index < 12; ++Index)
    if (Random() % 4 != 0)
      List.push_back(entry(Index, static_cast<std::int64_t>(Random() % 2)));
  return List;
}

} // namespace

// Guards against a list that is put together differently from the one read,
// also when endpoints go, come and restart at once.
Test(list_changes, turn_one_list_into_another) {
  std::mt19937 Random{5};
  for (int Round = 0; Round < 200; ++Round) {
    auto List = randomList(Random);
    const auto To = randomList(Random);
    const std::string Changes = encodeChanges(List, To);
    const auto Expected =
        List == To ? change_result::Known : change_result::Applied;
    cr_assert(applyChanges(List, Changes) == Expected);
    cr_assert(List == To);
    cr_assert(applyChanges(List, Changes) == change_result::Known);
  }
}

// Guards against changes that take effect on another list, or in part, after a
// datagram was lost.
Test(list_changes, to_another_list_take_no_effect) {
  const std::vector<endpoint_entry> First{entry(1), entry(2)};
  const std::vector<endpoint_entry> Second{entry(1), entry(2), entry(3)};
  const std::vector<endpoint_entry> Third{entry(2), entry(3)};
  auto List = First;
  const std::string Changes = encodeChanges(Second, Third);
  cr_assert(applyChanges(List, Changes) == change_result::Unusable);
  cr_assert(List == First);
  List = Second;
  for (std::size_t Size = 0; Size < Changes.size(); ++Size)
    cr_assert(applyChanges(List, Changes.substr(0, Size)) ==
              change_result::Unusable);
  cr_assert(List == Second);
}

// Guards against builds without changes that take them for a list.
Test(list_changes, are_no_list) {
  cr_assert(!decodeEndpoints(encodeChanges({}, {entry(1)})));
  cr_assert(!decodeEndpoints("12345"));
}

// Guards against a whole list of thousands for each second of a start, in which
// hundreds of endpoints appear: their changes exceed a datagram.
Test(list_changes, that_exceed_a_datagram_are_sent_in_parts) {
  std::vector<endpoint_entry> From;
  std::vector<endpoint_entry> To;
  for (std::size_t Index = 0; Index < 3000; ++Index) {
    if (Index % 3 != 0)
      From.push_back(entry(Index));
    if (Index % 7 != 0)
      To.push_back(entry(Index, Index % 5 == 0 ? 2 : 1));
  }
  constexpr std::size_t MaxBytes = 20'000;
  const auto Parts = encodeChangesInParts(From, To, MaxBytes);
  cr_assert(Parts.size() > 1);
  auto List = From;
  for (const std::string &Part : Parts) {
    cr_assert(Part.size() <= MaxBytes, "%zu bytes", Part.size());
    cr_assert(applyChanges(List, Part) == change_result::Applied);
  }
  cr_assert(List == To);
  cr_assert(encodeChangesInParts(To, To, MaxBytes).size() == 1);
}
