#include "sheet_rows.hpp"

#include <functional>
#include <map>
#include <set>

namespace redwinggw::control {
namespace {

using enum sheet_column;

using faults = std::vector<sheet_fault>;
using names = std::set<std::string, std::less<>>;

template <typename Declared, typename Projection>
names namesOf(const std::vector<parsed_row<Declared>> &Rows,
              Projection Project) {
  names Names;
  for (const parsed_row<Declared> &Row : Rows)
    Names.insert(std::invoke(Project, Row.Value));
  return Names;
}

/// Reports each row whose \p Project value occurs in an earlier row.
template <typename Declared, typename Projection>
void checkUnique(const std::vector<parsed_row<Declared>> &Rows,
                 Projection Project, sheet_column Column, faults &Faults) {
  using value =
      std::decay_t<std::invoke_result_t<Projection, const Declared &>>;
  std::map<value, std::size_t> First;
  for (const parsed_row<Declared> &Row : Rows) {
    const auto [Seen, New] =
        First.emplace(std::invoke(Project, Row.Value), Row.Row->Number);
    if (!New)
      addFault(Faults, *Row.Row, Column,
               "stands in row " + std::to_string(Seen->second) + " too",
               "each one once", "delete or rename one of the two rows");
  }
}

/// Reports each row whose \p Project value is not in \p Known.
template <typename Declared, typename Projection>
void checkKnown(const std::vector<parsed_row<Declared>> &Rows,
                Projection Project, const names &Known, const std::string &Kind,
                faults &Faults) {
  const std::string Allowed = "a " + Kind + " of this sheet";
  const std::string Remedy = "correct the name, or add the " + Kind;
  for (const parsed_row<Declared> &Row : Rows) {
    const std::string &Name = std::invoke(Project, Row.Value);
    if (Name.empty() || Known.contains(Name))
      continue;
    std::string Problem = "there is no ";
    Problem.append(Kind).append(" '").append(Name).append("'");
    addFault(Faults, *Row.Row, Of, std::move(Problem), Allowed, Remedy);
  }
}

void checkMadeFrom(const sheet_content &Content, faults &Faults) {
  if (Content.MadeFrom.empty())
    Faults.push_back({0, "", "there is no row of kind sheet",
                      "one row `sheet,VERSION`",
                      "add it with the version that the sheet was made from, "
                      "0 for the first"});
  for (std::size_t Index = 1; Index < Content.MadeFrom.size(); ++Index)
    addFault(Faults, *Content.MadeFrom[Index].Row, Kind,
             "there are several rows of kind sheet", "one",
             "delete the others");
}

std::pair<std::string, std::string> keyOfRead(const declared_read &Read) {
  return {Read.Name, Read.Service};
}

} // namespace

void checkContent(const sheet_content &Content, faults &Faults) {
  checkMadeFrom(Content, Faults);
  checkUnique(Content.Customers, &customer::Name, Name, Faults);
  checkUnique(Content.Keys, &customer_key::Id, Name, Faults);
  checkUnique(Content.Keys, &customer_key::Digest, Digest, Faults);
  checkUnique(Content.Services, &service::Name, Name, Faults);
  checkUnique(Content.Reads, keyOfRead, Name, Faults);
  checkUnique(Content.Endpoints, &endpoint::Name, Name, Faults);
  checkUnique(Content.Endpoints, &endpoint::Address, Address, Faults);
  checkKnown(Content.Keys, &customer_key::Customer,
             namesOf(Content.Customers, &customer::Name), "customer", Faults);
  checkKnown(Content.Reads, &declared_read::Service,
             namesOf(Content.Services, &service::Name), "service", Faults);
  checkKnown(Content.Services, &service::Group,
             namesOf(Content.Endpoints, &endpoint::Group),
             "group with endpoints", Faults);
}

} // namespace redwinggw::control
