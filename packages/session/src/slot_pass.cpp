#include "redwinggw/session/slot_pass.hpp"

namespace redwinggw::session {

base::task<slot_pass> takeTurn(pool_ptr Pool, slot_level Level,
                               base::customer_name Customer,
                               base::instant Until) {
  const bool Entered = co_await Pool->enter(Level, Customer, Until);
  if (!Entered)
    co_return slot_pass();
  co_return slot_pass(std::move(Pool), Level, std::move(Customer));
}

} // namespace redwinggw::session
