#include "redwinggw/session/text_delta.hpp"

#include <random>

#include "criterion_test.hpp"

using namespace redwinggw::session;

namespace {

/// A text like a configuration of \p Count routes.
std::string routes(std::size_t Count, unsigned Version = 1) {
  std::string Text =
      R"({"version":)" + std::to_string(Version) + R"(,"routes":[)";
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text +=
        R"({"name":"r)" + std::to_string(Index) + R"(","timeout_ms":1000},)";
  return Text + "]}";
}

} // namespace

// Guards against a change of one route that takes as many bytes as all routes.
Test(text_delta, is_small_for_a_small_change) {
  const std::string From = routes(5000);
  std::string To = routes(5000, 2);
  const std::size_t At = To.find("r2500");
  To.replace(To.find("1000", At), 4, "750");
  To.insert(To.find(R"({"name":"r4000")"), R"({"name":"new","timeout_ms":9},)");
  const std::string Delta = encodeDelta(From, To);
  cr_assert(Delta.size() < 500, "%zu bytes", Delta.size());
  cr_assert(applyDelta(From, Delta) == To);
}

Test(text_delta, turns_any_text_into_any_other) {
  std::mt19937 Random(7);
  for (unsigned Round = 0; Round < 500; ++Round) {
    const auto Text = [&] {
      std::string Out;
      for (unsigned Length = Random() % 60; Length > 0; --Length)
        Out += "ab}\n c0"[Random() % 7];
      return Out;
    };
    const std::string From = Text();
    const std::string To = Text();
    cr_assert(applyDelta(From, encodeDelta(From, To)) == To);
  }
}

// Guards against a configuration that is put together from another version than
// the one that the delta was made for.
Test(text_delta, refuses_another_text) {
  const std::string Delta = encodeDelta(routes(20), routes(21, 2));
  std::string Other = routes(20);
  Other.replace(Other.find("1000", Other.find("r5")), 4, "2000");
  cr_assert(!applyDelta(Other, Delta));
  cr_assert(!applyDelta("", Delta));
}

// Guards against corrupt steps that read outside of the text or never end.
Test(text_delta, refuses_what_is_no_delta) {
  const std::string From = routes(3);
  const std::string Delta = encodeDelta(From, routes(4));
  for (std::size_t Length = 0; Length < Delta.size(); ++Length)
    cr_assert(!applyDelta(From, Delta.substr(0, Length)));
  for (const char *Text :
       {"=1 2", "=1 2\nc0 99999\n", "=1 2\ni5\nab", "=1 2\nx1\n",
        "=1 2\nc18446744073709551615 2\n", "=x\n"})
    cr_assert(!applyDelta(From, Text), "%s", Text);
}
