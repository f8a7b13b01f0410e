#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// At-most-once execution. The caller's request id (an idempotency key) is
/// recorded in the database, in the same transaction as the request's effect. A
/// retry through any instance, before or after a failover, fails on the
/// record's unique key.
namespace redwinggw::data {

/// Identifies one request of a customer and all its retries.
struct request_identity {
  base::customer_name Customer;
  std::string Id;
  /// Wall clock of the first try in milliseconds, set by the caller.
  std::int64_t IssuedAt = 0;
  /// Digest of everything that defines the request. Empty in an outcome query,
  /// which matches every request with the id.
  std::string Digest;
};

enum class request_state { Done, Cancelled };

struct request_record {
  request_state State = request_state::Done;
  std::string Digest;
  std::int64_t Changes = 0;
  /// Rows of a returning write as JSON text; empty for other writes.
  std::string Result;
};

/// Records are kept for this long after IssuedAt.
constexpr base::milliseconds RecordRetention{24LL * 60 * 60 * 1000};

/// Fails with errc::RequestExpired when a record of this age may have been
/// deleted, since a retry could no longer be recognized, and with
/// errc::BadRequest when \p IssuedAt is in the future.
base::result<void> checkAge(std::int64_t IssuedAt, std::int64_t WallNow);

/// Digest over the parts of a request; the order of \p Parts matters.
std::string requestDigest(const std::vector<std::string> &Parts);

/// Creates the table of request records if it does not exist.
statement createRecordTable();

/// Adds a record; fails on the unique key when it exists.
statement insertRecord(const request_identity &Identity, request_state State);

/// Stores in the record the number of rows that the previous statement changed.
statement storeChanges(const request_identity &Identity);

/// Stores in the record the rows that a returning write produced.
statement storeResult(const request_identity &Identity, std::int64_t Changes,
                      std::string Result);

statement selectRecord(const request_identity &Identity);

/// Deletes a bounded number of records past their retention.
statement deleteExpired(std::int64_t WallNow);

/// Reads the record from the result of selectRecord; empty when there is none.
std::optional<request_record> recordOf(const boost::json::value &Result);

/// Whether \p Failure says that the table of request records does not exist.
bool isMissingTable(const base::failure &Failure);

/// What the record says about a retry of a request.
enum class retry_verdict {
  Done,      ///< The request ran; the record holds its outcome.
  Cancelled, ///< An outcome query cancelled it before it ran.
  Reused,    ///< The id belongs to another request.
};

retry_verdict classifyRetry(const request_record &Record,
                            const request_identity &Identity);

} // namespace redwinggw::data
