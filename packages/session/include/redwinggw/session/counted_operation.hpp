#pragma once

#include "redwinggw/base/ids.hpp"

#include <functional>
#include <string_view>
#include <utility>

/// What was taken of a customer's rate, until it is known whether it ran.
namespace redwinggw::session {

/// Tells the customer's rate whether an operation has run.
using settle_port = std::function<void(std::string_view Customer, bool Ran)>;

/// An operation that was counted against its customer's rate. Settled once: by
/// settle(), or as one that ran nowhere at the end of its life.
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

  /// \p Ran: an endpoint has run it, or may have.
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
