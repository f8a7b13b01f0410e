#include "session.hpp"

#include "redwinggw/base/enum_table.hpp"

namespace redwinggw::load {
namespace {

constexpr std::array ViolationNames =
    std::to_array<base::enum_name<violation>>({
        {violation::StaleRead, "stale_read"},
        {violation::LostWrite, "lost_write"},
        {violation::DoubledWrite, "doubled_write"},
        {violation::WrongCustomer, "wrong_customer"},
    });

} // namespace

std::string_view violationName(violation Violation) {
  return base::nameOf(ViolationNames, Violation);
}

std::optional<violation> checkRow(const session &Session,
                                  const std::string &Customer,
                                  const std::optional<counter_row> &Row,
                                  bool Final) {
  if (Row && (Row->Customer != Customer || Row->Session != Session.Id))
    return violation::WrongCustomer;
  const std::uint64_t Count = Row ? Row->Count : 0;
  if (Count < Session.Acknowledged)
    return Final ? violation::LostWrite : violation::StaleRead;
  if (Count > Session.Acknowledged + Session.Unresolved)
    return violation::DoubledWrite;
  return std::nullopt;
}

} // namespace redwinggw::load
