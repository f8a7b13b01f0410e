#pragma once

#include "redwinggw/session/log_point.hpp"
#include "redwinggw/session/primary_lease.hpp"
#include "redwinggw/session/session_values.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// A statement to run on an endpoint's connection, whichever instance holds it.
namespace redwinggw::session {

enum class link_action : std::uint8_t {
  /// A caller's own statement, under its id.
  Caller,
  /// Internal statements around a caller's transaction.
  Begin,
  BeginReadOnly,
  Rollback,
};

struct link_statement {
  link_action Action = link_action::Caller;
  /// The caller's id and text; empty for internal statements.
  std::string Id;
  std::string Text;
  /// Session values that must be in force; unset: they stay as they are.
  std::optional<session_values> Values;
  /// Operand of the prepared statement that is executed in place of Text, and
  /// its arguments.
  std::string Prepared;
  std::string Arguments;
  /// The log position that the endpoint must have; it refuses the statement
  /// otherwise.
  std::optional<log_point> After;
  /// Set when the endpoint is used as the primary: checked again right before
  /// the statement is sent, since setting up the connection takes time.
  std::optional<primary_lease> PrimaryLease;
};

} // namespace redwinggw::session
