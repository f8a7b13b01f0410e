#pragma once

#include "redwinggw/session/counted_operation.hpp"
#include "redwinggw/session/endpoint_set.hpp"
#include "redwinggw/session/own_commits.hpp"
#include "redwinggw/session/route_table.hpp"
#include "redwinggw/session/statement.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

/// A caller's session: one connection and what was set up on it.
namespace redwinggw::session {

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
  /// The endpoint has signed a statement inside of it: it has certainly begun.
  bool Confirmed = false;
  /// A write of it may have taken effect by itself: its end promises nothing.
  bool InDoubt = false;
  /// It failed; only Commit and Rollback are accepted, and both roll it back.
  bool Failed = false;
  base::instant UsedAt;
  /// The endpoint's connection, from the first statement on.
  link_handle Link;
  pool_ptr Pool;
  /// Set when it runs on the primary.
  std::optional<primary_lease> PrimaryLease;
};

struct caller_session {
  std::uint64_t Number = 0;
  /// Name of the database that the caller asked for.
  std::string Database;
  std::string Key;
  base::customer_name Customer;
  session_values Values;
  std::map<std::string, prepared_statement, std::less<>> Prepared;
  own_commits Commits;
  std::unique_ptr<open_transaction> Transaction;
  /// A statement of this session is being served.
  bool Busy = false;
};

/// The transaction state that callers are told.
transaction_state stateOf(const caller_session &Session);

} // namespace redwinggw::session
