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

} // namespace redwinggw::session
