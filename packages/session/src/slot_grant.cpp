#include "redwinggw/session/slot_grant.hpp"

namespace redwinggw::session {

base::task<slot_grant> acquireSlot(pool_ptr Pool, slot_level Level,
                                   base::customer_name Customer,
                                   base::instant Until) {
  const bool Entered = co_await Pool->acquireSlot(Level, Customer, Until);
  if (!Entered)
    co_return slot_grant();
  co_return slot_grant(std::move(Pool), Level, std::move(Customer));
}

} // namespace redwinggw::session
