#include "redwinggw/session/route_table.hpp"

namespace redwinggw::session {

const route *findRoute(const route_table &Table, std::string_view Database) {
  const auto Found = Table.Routes.find(Database);
  return Found == Table.Routes.end() ? nullptr : &Found->second;
}

const base::customer_name *findCustomer(const route_table &Table,
                                        std::string_view Key) {
  const auto Found = Table.Keys.find(Key);
  return Found == Table.Keys.end() ? nullptr : &Found->second;
}

home_rule homesFor(const route_table &Table, std::string_view Database,
                   std::string_view Customer) {
  home_rule Rule;
  if (const route *Route = findRoute(Table, Database))
    Rule.Route = &Route->Homes;
  if (const auto Found = Table.CustomerHomes.find(Customer);
      Found != Table.CustomerHomes.end())
    Rule.Customer = &Found->second;
  return Rule;
}

} // namespace redwinggw::session
