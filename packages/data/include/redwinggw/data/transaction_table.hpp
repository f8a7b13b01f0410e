#pragma once

#include "redwinggw/data/pinned_connection.hpp"
#include "redwinggw/data/statement_core.hpp"

#include <map>
#include <string>

/// Transactions of several statements that callers hold open.
namespace redwinggw::data {

struct open_transaction {
  pinned_connection Pinned;
  base::customer_name Customer;
  base::group_name Group;
  std::string KeyId;
  access_kind Access = access_kind::Read;
  base::term_number Term = 0;
  session_kind SessionKind = session_kind::Missing;
  session_state Session;
  base::instant UsedAt;
  /// A run of it is under way.
  bool Busy = false;
};

/// Used from one thread.
struct transaction_table {
  std::map<std::string, open_transaction, std::less<>> Open;
  /// A transaction unused for so long is rolled back.
  base::milliseconds IdleLimit{10'000};
  std::size_t Limit = 1000;
};

/// Opens a transaction on a connection of its own at the group's primary. A
/// write transaction carries the record of its request id from the start; a
/// repeat of a committed one is answered with that outcome.
base::task<base::result<caller_answer>>
beginTransaction(statement_core &Core, transaction_table &Table, call Call);

/// Runs one statement in an open transaction.
base::task<base::result<caller_answer>>
runInTransaction(statement_core &Core, transaction_table &Table, call Call);

base::task<base::result<caller_answer>>
commitTransaction(statement_core &Core, transaction_table &Table, call Call);

base::task<base::result<caller_answer>>
rollBackTransaction(statement_core &Core, transaction_table &Table, call Call);

/// Rolls back the transaction of \p Call, if it is its customer's own and idle.
void abandonTransaction(statement_core &Core, transaction_table &Table,
                        const call &Call);

/// Rolls back, by closing their connections, the transactions that are idle
/// for too long and those whose key is not in force any more.
void closeAbandoned(statement_core &Core, transaction_table &Table,
                    base::instant Now);

} // namespace redwinggw::data
