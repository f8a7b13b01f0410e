#pragma once

#include "redwinggw/base/ids.hpp"

#include <functional>
#include <string_view>
#include <utility>

/// Operations charged to a customer's rate until it is known whether they ran.
namespace redwinggw::session {

/// Reports whether a charged operation has run; one that has not is refunded to
/// the customer's rate.
using settle_port = std::function<void(std::string_view Customer, bool Ran)>;

/// An operation that was charged to its customer's rate. Settled exactly once:
/// by settle(), or by the destructor as one that did not run.
class counted_operation {
public:
  counted_operation() = default;
  counted_operation(const settle_port *Port, base::customer_name Customer)
      : Port(Port), Customer(std::move(Customer)) {}
  counted_operation(const counted_operation &) = delete;
  counted_operation &operator=(const counted_operation &) = delete;
  counted_operation(counted_operation &&Other) noexcept
      : Port(std::exchange(Other.Port, nullptr)),
        Customer(std::move(Other.Customer)) {}
  counted_operation &operator=(counted_operation &&Other) noexcept {
    std::swap(Port, Other.Port);
    std::swap(Customer, Other.Customer);
    return *this;
  }
  ~counted_operation() { settle(false); }

  /// \p Ran: whether an endpoint has run it, or may have.
  void settle(bool Ran) {
    if (const settle_port *Settle = std::exchange(Port, nullptr))
      (*Settle)(Customer, Ran);
  }

private:
  /// Outlives the operation; null when there is nothing to settle.
  const settle_port *Port = nullptr;
  base::customer_name Customer;
};

} // namespace redwinggw::session
