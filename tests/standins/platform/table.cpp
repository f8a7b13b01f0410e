#include "table.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace redwinggw::standin {

storage::row rowAt(const table &Table, std::string_view Key) {
  const auto Found = Table.Rows.find(Key);
  if (Found == Table.Rows.end())
    return {std::string(Key), 0, {}};
  return Found->second;
}

std::vector<storage::row> rowsWithPrefix(const table &Table,
                                         std::string_view Prefix) {
  std::vector<storage::row> Rows;
  for (auto Row = Table.Rows.lower_bound(Prefix);
       Row != Table.Rows.end() && Row->first.starts_with(Prefix); ++Row)
    Rows.push_back(Row->second);
  return Rows;
}

commit_outcome commit(table &Table, const storage::commit_request &Request) {
  commit_outcome Outcome;
  for (const storage::check &Check : Request.Checks)
    if (storage::row Row = rowAt(Table, Check.Key);
        Row.Version != Check.Version)
      Outcome.Conflicts.push_back(std::move(Row));
  if (!Outcome.Conflicts.empty())
    return Outcome;
  for (const storage::put &Put : Request.Puts) {
    storage::row Row{Put.Key, ++Table.LastVersion, Put.Value};
    Table.Rows[Put.Key] = Row;
    Outcome.Written.push_back(std::move(Row));
  }
  for (const std::string &Key : Request.Deletes)
    Table.Rows.erase(Key);
  return Outcome;
}

std::vector<storage::listed_instance> visibleAt(const instance_list &List,
                                                base::instant Now) {
  std::map<std::string, storage::listed_instance> Visible;
  for (const listing_change &Change : List.Changes) {
    if (Change.At + List.Lag > Now)
      continue;
    if (Change.Gone)
      Visible.erase(Change.Instance.Name);
    else
      Visible[Change.Instance.Name] = Change.Instance;
  }
  std::vector<storage::listed_instance> Instances;
  std::ranges::copy(Visible | std::views::values,
                    std::back_inserter(Instances));
  return Instances;
}

} // namespace redwinggw::standin
