#pragma once

#include "line_client.hpp"
#include "native/database_group.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// What callers sent, and whether answers and databases agree with it.
namespace redwinggw::fleet {

/// One statement as its caller saw it.
struct statement_record {
  std::string Id;
  std::string Text;
  line_answer Answer;
  /// The same for all statements of a transaction; 0 outside of one.
  std::uint64_t Transaction = 0;
};

struct caller_plan {
  /// Where to connect, and the database to name.
  http::address Address;
  std::string Database = "strict";
  std::uint64_t Seed = 1;
  std::size_t Operations = 100;
  /// Share of the values that are any bytes, those of the protocol among them.
  double AnyBytes = 0;
  /// Ends the caller early; may be null.
  const std::atomic<bool> *Stopped = nullptr;
};

/// Runs reads, writes, values, prepared statements and transactions drawn from
/// the seed, on one connection for as long as it lasts.
std::vector<statement_record> runCaller(const caller_plan &Plan);

/// One line for each violation, all callers of \p Group taken together:
/// - UNASKED: a database ran what nobody sent, or another text than was sent,
///   or committed a transaction whose commit nobody sent
/// - MIXED: a success with another statement's signature, or with other rows
///   than the database sent
/// - TWICE: a write took effect twice
/// - REFUSED: a write took effect that was answered as not run
std::vector<std::string>
judgeStatements(const standin::database_group &Group,
                const std::vector<statement_record> &Records);

} // namespace redwinggw::fleet
