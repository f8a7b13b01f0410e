#include "platform/table.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;

Test(platform_table, one_of_two_commits_on_the_same_version_wins) {
  standin::table Table;
  const storage::commit_request First{{{"lease", 0}}, {{"lease", "a"}}, {}};
  const storage::commit_request Second{
      {{"lease", 0}}, {{"lease", "b"}, {"other", "b"}}, {}};
  cr_assert(commit(Table, First).Conflicts.empty());
  const auto Lost = commit(Table, Second);
  cr_assert(Lost.Conflicts.size() == 1);
  cr_assert(Lost.Conflicts.front().Version == 1);
  cr_assert(rowAt(Table, "lease").Value == "a");
  cr_assert(rowAt(Table, "other").Version == 0);
}

Test(platform_table, a_version_is_not_used_again_after_a_delete) {
  standin::table Table;
  commit(Table, {{}, {{"row", "first"}}, {}});
  const auto Before = rowAt(Table, "row").Version;
  commit(Table, {{}, {}, {"row"}});
  cr_assert(rowAt(Table, "row").Version == 0);
  commit(Table, {{}, {{"row", "second"}}, {}});
  cr_assert(rowAt(Table, "row").Version > Before);
}

Test(platform_list, a_reader_sees_a_change_after_the_lag) {
  using namespace std::chrono_literals;
  const base::instant Start(1s);
  standin::instance_list List{1s, {{Start, {"a", "z1", {}, {}, {}, false}}}};
  cr_assert(visibleAt(List, Start + 999ms).empty());
  cr_assert(visibleAt(List, Start + 1s).size() == 1);
  List.Changes.push_back({Start + 2s, {"a", "", {}, {}, {}, false}, true});
  cr_assert(visibleAt(List, Start + 2s).size() == 1);
  cr_assert(visibleAt(List, Start + 3s).empty());
}
