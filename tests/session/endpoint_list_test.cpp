#include "redwinggw/session/endpoint_list.hpp"

#include <algorithm>
#include <iterator>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

std::vector<endpoint_entry> entries(std::size_t Count) {
  std::vector<endpoint_entry> Entries(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    endpoint_entry &Entry = Entries[Index];
    Entry.Name = "i-" + std::to_string(Index);
    Entry.Service = "ledger \"" + std::to_string(Index / 3) + "\"";
    Entry.Address = {"10.1.0." + std::to_string(Index % 200), 8080};
    Entry.Zone = "z" + std::to_string(Index % 4);
    Entry.Slots = 5;
    Entry.Role =
        Index % 3 == 0 ? endpoint_role::Primary : endpoint_role::Replica;
    Entry.Draining = Index % 7 == 0;
    Entry.StartedAt = 1'768'746'983'149;
    Entry.ColdRemaining = base::milliseconds(Index % 5 == 0 ? 7800 : 0);
  }
  return Entries;
}

/// Decodes all texts; empty if one cannot be read.
std::vector<endpoint_entry> decodeAll(const std::vector<std::string> &Texts) {
  std::vector<endpoint_entry> All;
  for (const std::string &Text : Texts) {
    const auto Entries = decodeEndpoints(Text);
    if (!Entries)
      return {};
    std::ranges::copy(*Entries, std::back_inserter(All));
  }
  return All;
}

} // namespace

Test(endpoint_list, comes_back_as_it_was_encoded) {
  constexpr std::size_t MaxBytes = 1000;
  for (const std::size_t Count : {1U, 3U, 100U}) {
    const auto Texts = encodeEndpoints(entries(Count), MaxBytes);
    cr_assert(std::ranges::all_of(Texts, [](const std::string &Text) {
      return Text.size() <= MaxBytes;
    }));
    cr_assert(decodeAll(Texts) == entries(Count));
  }
}

// Guards against builds that ignore each other's lists: one without the cold
// time sends eight fields and reads the first eight.
Test(endpoint_list, is_read_from_a_build_without_the_cold_time) {
  const auto Old =
      decodeEndpoints(R"([["a","s","10.0.0.1:80","z",5,true,false,1]])");
  cr_assert(Old && Old->front().ColdRemaining.count() == 0);
  cr_assert(encodeEndpoints(*Old, 1000).front() ==
            R"([["a","s","10.0.0.1:80","z",5,true,false,1]])");
}

Test(endpoint_list, without_entries_is_one_text) {
  const auto Texts = encodeEndpoints({}, 1000);
  cr_assert(Texts.size() == 1);
  const auto Entries = decodeEndpoints(Texts.front());
  cr_assert(Entries && Entries->empty());
}

// Guards against a corrupt text that takes endpoints out of use.
Test(endpoint_list, that_cannot_be_read_gives_nothing) {
  for (const char *Text : {"", "{}", "[", "[1]", "[[]]", R"([["a","s","x"]])",
                           R"([["a","s","no address","z",5,true,false,1]])",
                           R"([["a","s","10.0.0.1:80","z",-5,true,false,1]])"})
    cr_assert(!decodeEndpoints(Text), "%s", Text);
}
