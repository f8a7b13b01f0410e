#pragma once

#include "redwinggw/data/pinned_connection.hpp"
#include "redwinggw/data/statement_core.hpp"

#include <map>
#include <string>

/// Open transactions of several statements each.
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
  /// A run of the transaction is in progress.
  bool Busy = false;
};

/// Used from one thread.
struct transaction_table {
  std::map<std::string, open_transaction, std::less<>> Open;
  /// A transaction without a statement for this long is rolled back.
  base::milliseconds IdleLimit{10'000};
  std::size_t Limit = 1000;
};

/// Begins a transaction on its own connection at the group's primary. A write
/// transaction inserts the record of its request id first; a retry of a
/// committed one gets the recorded outcome.
base::task<base::result<caller_answer>>
beginTransaction(statement_core &Core, transaction_table &Table, call Call);

/// Runs one statement in an open transaction.
base::task<base::result<caller_answer>>
runInTransaction(statement_core &Core, transaction_table &Table, call Call);

base::task<base::result<caller_answer>>
commitTransaction(statement_core &Core, transaction_table &Table, call Call);

base::task<base::result<caller_answer>>
rollBackTransaction(statement_core &Core, transaction_table &Table, call Call);

/// Rolls back the transaction of \p Call if it belongs to the same customer and
/// no run is in progress.
void abandonTransaction(statement_core &Core, transaction_table &Table,
                        const call &Call);

/// Rolls back, by closing their connections, transactions that have been idle
/// for too long or whose key is no longer in force.
void closeAbandoned(statement_core &Core, transaction_table &Table,
                    base::instant Now);

} // namespace redwinggw::data
