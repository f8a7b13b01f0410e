#include "redwinggw/session/list_parts.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::session;

namespace {

using texts = std::vector<std::string>;

} // namespace

Test(list_parts, are_complete_in_any_order) {
  list_assembly Assembly;
  cr_assert(!addPart(Assembly, {7, 2, 3, "c"}));
  cr_assert(!addPart(Assembly, {7, 0, 3, "a"}));
  cr_assert(!addPart(Assembly, {7, 0, 3, "a"}));
  cr_assert(addPart(Assembly, {7, 1, 3, "b"}) == texts({"a", "b", "c"}));
}

Test(list_parts, of_a_single_datagram_are_complete_at_once) {
  list_assembly Assembly;
  cr_assert(addPart(Assembly, {7, 0, 1, "a"}) == texts({"a"}));
  cr_assert(addPart(Assembly, {7, 0, 1, "b"}) == texts({"b"}));
}

// Guards against a list that is put together from two reads.
Test(list_parts, of_different_reads_are_never_mixed) {
  list_assembly Assembly;
  cr_assert(!addPart(Assembly, {7, 0, 2, "old"}));
  cr_assert(!addPart(Assembly, {8, 1, 2, "b"}));
  cr_assert(!addPart(Assembly, {7, 1, 2, "old"}));
  cr_assert(addPart(Assembly, {8, 0, 2, "a"}) == texts({"a", "b"}));
  cr_assert(!addPart(Assembly, {7, 0, 1, "old"}));
}

// Guards against a new instance that never agrees with the others on the list:
// its own read, with another remaining time of a cold endpoint, has a higher
// version than theirs. An answer that newer changes overtook undoes nothing.
Test(list_parts, that_were_requested_replace_a_later_read) {
  cr_assert(replacesHeld({7, "fleet"}, 9, "fleet"));
  cr_assert(!replacesHeld({7, "older"}, 9, "fleet"));
  cr_assert(!replacesHeld({7, "fleet"}, 9, ""));
  cr_assert(replacesHeld({9, "newer"}, 9, ""));
}

Test(list_parts, with_impossible_numbers_are_ignored) {
  list_assembly Assembly;
  cr_assert(!addPart(Assembly, {7, 2, 2, "a"}));
  cr_assert(!addPart(Assembly, {7, 0, 0, "a"}));
  cr_assert(!addPart(Assembly, {7, 0, 60'000, "a"}));
  cr_assert(addPart(Assembly, {1, 0, 1, "a"}) == texts({"a"}));
}
