#include "fleet_callers.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

using entry_fields = std::pair<std::string_view, std::string>;

/// The text of an entry with \p Field in place of its own.
std::string entryWith(const entry_fields &Field, const std::string &Role) {
  std::string Text = R"({"service":"s","zone":"z1","version":"v1",)"
                     R"("state":"ready","sequence":1,"database_role":")" +
                     Role + "\"";
  for (const auto &[Name, Value] :
       {entry_fields{"address", R"("127.0.0.1:1")"}, entry_fields{"slots", "5"},
        entry_fields{"cold_remaining_ms", "0"}, entry_fields{"born", "1"}})
    Text += ",\"" + std::string(Name) +
            "\":" + (Name == Field.first ? Field.second : Value);
  return Text + "}";
}

/// What another writer may leave, and keys that mean something in a query.
void addOddEntries(simulated_platform &World, const std::string &Role) {
  constexpr std::size_t Depth = 60'000;
  World.Store.PageSize = 1;
  const auto Fields = std::to_array<entry_fields>(
      {{"slots", "-1"},
       {"slots", "1e40"},
       {"slots", "1e999"},
       {"slots", std::string(400, '9')},
       {"slots", std::string(Depth, '[') + std::string(Depth, ']')},
       {"cold_remaining_ms", "1e300"},
       {"born", "1e300"},
       {"address", R"("127.0.0.1:99999")"},
       {"address", R"("127.0.0.1:65536")"},
       {"address", R"("127.0.0.1:-1")"},
       {"address", R"("127.0.0.1:")"}});
  for (std::size_t Index = 0; Index < Fields.size(); ++Index)
    World.Store.put("servers", "!odd" + std::to_string(Index),
                    entryWith(Fields[Index], Role));
  World.Store.put("servers", "!odd-bytes", "\xff\xfe{");
  for (const char *Key : {"a b", "a\r\nQUERY 1 READ a", "%00&limit=0", "é"})
    World.Store.put("servers", Key, entryWith({}, Role));
}

bool servesReads(const native_process &Instance) {
  line_client Caller(Instance.Callers, "strict", "key");
  return Caller.run("READ a").Error.empty();
}

/// Whether some instance has logged \p Text.
bool isLogged(const native_fleet &Fleet, std::string_view Text) {
  return std::ranges::any_of(
      Fleet.Instances, [&](const native_process &Instance) {
        return Instance.Process->output().find(Text) != std::string::npos;
      });
}

} // namespace

// Odd entries in the list of databases ended the processes that read it, or
// kept them from following it.
Test(odd_entries, end_no_process_and_hide_no_database) {
  for (const char *Role : {"replica", "primary"}) {
    native_fleet Fleet(2);
    Fleet.World.runOnThread(
        [&](simulated_platform &World) { addOddEntries(World, Role); });
    for (const native_process &Instance : Fleet.Instances)
      cr_assert(eventually([&] { return servesReads(Instance); }));
    // The list is still followed.
    Fleet.World.leave("d3");
    for (const native_process &Instance : Fleet.Instances)
      cr_assert(eventually([&] {
        return Instance.Process->output().find(
                   "d3 was removed from the list") != std::string::npos;
      }));
    for (native_process &Instance : Fleet.Instances)
      cr_assert(Instance.Process->running());
    Fleet.World.runOnThread(
        [](simulated_platform &World) { cr_assert(World.Promotions.empty()); });
    cr_assert(isLogged(Fleet, "entry_refused"));
  }
}
