#pragma once

#include "redwinggw/session/log_point.hpp"
#include "redwinggw/session/primary_lease.hpp"
#include "redwinggw/session/session_values.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// What is run on an endpoint's connection, wherever that connection is held.
namespace redwinggw::session {

enum class link_action : std::uint8_t {
  /// A caller's own statement, under its id.
  Caller,
  /// The system's own statements around a caller's transaction.
  Begin,
  BeginReadOnly,
  Rollback,
};

struct link_statement {
  link_action Action = link_action::Caller;
  /// The caller's id and text; empty for the system's own statements.
  std::string Id;
  std::string Text;
  /// Session values that must be in force; nothing: as they are.
  std::optional<session_values> Values;
  /// Operand of the prepared statement that is executed in place of Text, and
  /// its arguments.
  std::string Prepared;
  std::string Arguments;
  /// The point that the endpoint has to prove.
  std::optional<log_point> After;
  /// Set when the endpoint is used as the primary: judged once more right
  /// before the statement is sent, since setting up takes time.
  std::optional<primary_lease> PrimaryLease;
};

} // namespace redwinggw::session
