#pragma once

#include "redwinggw/session/session.hpp"

/// Brings a shared connection into the state that a session expects.
namespace redwinggw::session {

/// Makes the values in force on \p Link those of \p Session, resetting it
/// where another session's values would show. False when the connection can
/// no longer be used; nothing of the session's work has run then.
base::task<bool> prepareLink(pooled_link &Link, const caller_session &Session,
                             base::instant Deadline);

/// The name under which \p Operand is prepared on \p Link, preparing it when
/// needed. Empty when the connection can no longer be used.
base::task<std::string> prepareStatement(pooled_link &Link,
                                         std::string_view Operand,
                                         base::instant Deadline);

} // namespace redwinggw::session
