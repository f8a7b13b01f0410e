#pragma once

#include "redwinggw/session/endpoint_set.hpp"

#include <utility>

/// Slots of an endpoint, held while a statement runs.
namespace redwinggw::session {

/// One of an endpoint's slots, released by the destructor.
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
  /// Returns a slot in which nothing was done.
  void giveBack() {
    if (Pool)
      std::exchange(Pool, nullptr)->returnSlot();
  }
  explicit operator bool() const { return Pool != nullptr; }

private:
  pool_ptr Pool;
  slot_level Level = slot_level::Normal;
  base::customer_name Customer;
  base::instant Since;
};

/// Waits until \p Until for a slot of \p Pool's endpoint. Empty if none gets
/// free in time.
base::task<slot_grant> acquireSlot(pool_ptr Pool, slot_level Level,
                                   base::customer_name Customer,
                                   base::instant Until);

} // namespace redwinggw::session
