#pragma once

#include "redwinggw/session/endpoint_set.hpp"
#include "redwinggw/session/route_table.hpp"
#include "redwinggw/session/statement.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// A caller's session: one connection and what was set up on it.
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
    if (const settle_port *Told = std::exchange(Port, nullptr))
      (*Told)(Customer, Ran);
  }

private:
  /// Outlives the operation; null when there is nothing to settle.
  const settle_port *Port = nullptr;
  base::customer_name Customer;
};

/// A transaction that a caller has begun.
struct open_transaction {
  /// The route as it was when the transaction began; changes apply to the
  /// next one.
  route Route;
  bool ReadOnly = false;
  /// Settled when an endpoint has begun it.
  counted_operation Counted;
  /// A statement that writes was sent to the endpoint.
  bool Wrote = false;
  /// It failed and can only be ended.
  bool Failed = false;
  base::instant UsedAt;
  /// The endpoint's connection, from the first statement on.
  link_handle Link;
  pool_ptr Pool;
  /// Set when it runs on the primary.
  std::optional<primary_right> Right;
};

struct caller_session {
  std::uint64_t Number = 0;
  /// Name of the database that the caller asked for.
  std::string Database;
  std::string Key;
  base::customer_name Customer;
  session_values Values;
  std::map<std::string, prepared_statement, std::less<>> Prepared;
  /// Position after the session's last commit, for one service at a time.
  base::service_name CommitService;
  std::optional<log_point> LastCommit;
  base::instant LastCommitAt;
  std::unique_ptr<open_transaction> Transaction;
  /// A statement of this session is being worked on.
  bool Busy = false;
};

/// What callers are told their session is in.
transaction_state stateOf(const caller_session &Session);

} // namespace redwinggw::session
