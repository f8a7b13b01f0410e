#include "redwinggw/control/config_changes.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <array>
#include <functional>
#include <map>

namespace redwinggw::control {
namespace {

using base::enum_name;

constexpr std::array RowKindNames = std::to_array<enum_name<config_row_kind>>({
    {config_row_kind::Customer, "customer"},
    {config_row_kind::Key, "key"},
    {config_row_kind::Service, "service"},
    {config_row_kind::Read, "read"},
    {config_row_kind::Endpoint, "endpoint"},
});

constexpr std::array ChangeNames = std::to_array<enum_name<change_kind>>({
    {change_kind::Added, "added"},
    {change_kind::Removed, "removed"},
    {change_kind::Changed, "changed"},
});

template <typename Row, typename Projection>
std::map<std::string, const Row *> byName(const std::vector<Row> &Rows,
                                          Projection NameOf) {
  std::map<std::string, const Row *> Named;
  for (const Row &Each : Rows)
    Named.emplace(std::invoke(NameOf, Each), &Each);
  return Named;
}

template <typename Row, typename Projection>
void addChanges(const std::vector<Row> &Old, const std::vector<Row> &New,
                Projection NameOf, config_row_kind RowKind,
                std::vector<config_change> &Changes) {
  const auto Before = byName(Old, NameOf);
  const auto After = byName(New, NameOf);
  for (const auto &[Name, Each] : Before) {
    const auto Found = After.find(Name);
    if (Found == After.end())
      Changes.push_back({RowKind, Name, change_kind::Removed});
    else if (*Found->second != *Each)
      Changes.push_back({RowKind, Name, change_kind::Changed});
  }
  for (const auto &[Name, Each] : After)
    if (!Before.contains(Name))
      Changes.push_back({RowKind, Name, change_kind::Added});
}

std::string nameOfRead(const declared_read &Read) {
  return Read.Service + "/" + Read.Name;
}

} // namespace

std::vector<config_change> changesBetween(const configuration &Old,
                                          const configuration &New) {
  std::vector<config_change> Changes;
  addChanges(Old.Customers, New.Customers, &customer::Name,
             config_row_kind::Customer, Changes);
  addChanges(Old.Keys, New.Keys, &customer_key::Id, config_row_kind::Key,
             Changes);
  addChanges(Old.Services, New.Services, &service::Name,
             config_row_kind::Service, Changes);
  addChanges(Old.Reads, New.Reads, nameOfRead, config_row_kind::Read, Changes);
  addChanges(Old.Endpoints, New.Endpoints, &endpoint::Name,
             config_row_kind::Endpoint, Changes);
  return Changes;
}

std::string_view rowKindName(config_row_kind RowKind) {
  return base::nameOf(RowKindNames, RowKind);
}

std::string_view changeName(change_kind Kind) {
  return base::nameOf(ChangeNames, Kind);
}

std::string describe(const std::vector<config_change> &Changes,
                     std::size_t Limit) {
  if (Changes.empty())
    return "nothing";
  std::string Text;
  for (std::size_t Index = 0; Index < std::min(Limit, Changes.size());
       ++Index) {
    const config_change &Change = Changes[Index];
    Text.append(Text.empty() ? "" : ", ");
    Text.append(rowKindName(Change.RowKind)).append(" ").append(Change.Name);
    Text.append(" ").append(changeName(Change.Kind));
  }
  if (Changes.size() > Limit)
    Text.append(" and ")
        .append(std::to_string(Changes.size() - Limit))
        .append(" more");
  return Text;
}

} // namespace redwinggw::control
