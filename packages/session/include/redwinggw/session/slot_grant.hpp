#pragma once

#include "redwinggw/session/endpoint_set.hpp"

#include <utility>

/// Turns on the slots of an endpoint, held while a statement runs.
namespace redwinggw::session {

/// A turn on an endpoint's slots, given up at the end of its life.
class slot_grant {
public:
  slot_grant() = default;
  slot_grant(pool_ptr Pool, slot_level Level, base::customer_name Customer)
      : Pool(std::move(Pool)), Level(Level), Customer(std::move(Customer)),
        Since(base::now()) {}
  slot_grant(slot_grant &&) noexcept = default;
  slot_grant &operator=(slot_grant &&Other) noexcept {
    std::swap(Pool, Other.Pool);
    std::swap(Level, Other.Level);
    std::swap(Customer, Other.Customer);
    std::swap(Since, Other.Since);
    return *this;
  }
  ~slot_grant() {
    if (Pool)
      Pool->releaseSlot(Level, Customer, base::now() - Since);
  }
  explicit operator bool() const { return Pool != nullptr; }

private:
  pool_ptr Pool;
  slot_level Level = slot_level::Normal;
  base::customer_name Customer;
  base::instant Since;
};

/// Waits until \p Until for a turn on the slots of \p Pool's endpoint. Empty
/// when there is none in time.
base::task<slot_grant> acquireSlot(pool_ptr Pool, slot_level Level,
                                   base::customer_name Customer,
                                   base::instant Until);

} // namespace redwinggw::session
