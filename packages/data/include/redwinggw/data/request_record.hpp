#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>

/// At most once: the caller's request id is recorded in the database, in the
/// same transaction as the request's effect. Whoever repeats the request,
/// through whatever instance, before or after a failover, meets the record by
/// its unique key.
namespace redwinggw::data {

/// Names one request of a customer, over all its repeats.
struct request_identity {
  base::customer_name Customer;
  std::string Id;
  /// Wall clock of the first try, milliseconds, given by the caller.
  std::int64_t IssuedAt = 0;
  /// Digest of all that makes the request what it is; empty in an enquiry,
  /// which matches every body.
  std::string Digest;
};

enum class request_state { Done, Cancelled };

struct request_record {
  request_state State = request_state::Done;
  std::string Digest;
  std::int64_t Changes = 0;
  /// Rows of a returning write as JSON text; empty when it returned none.
  std::string Result;
};

/// Records are kept for so long after IssuedAt.
constexpr base::milliseconds RecordRetention{24LL * 60 * 60 * 1000};

/// Fails with errc::RequestExpired when a record of this age may have been
/// deleted, so that a repeat could no longer be told from a first try, and
/// with errc::BadRequest when \p IssuedAt lies in the future.
base::result<void> checkAge(std::int64_t IssuedAt, std::int64_t WallNow);

/// Digest over the parts of a request; \p Parts in a fixed order.
std::string requestDigest(const std::vector<std::string> &Parts);

/// Creates the table of records unless it is there.
statement createRecordTable();

/// Adds a record; fails on the unique key when there is one already.
statement insertRecord(const request_identity &Identity, request_state State);

/// Stores in the record how many rows the statement before it changed.
statement storeChanges(const request_identity &Identity);

/// Stores the rows that a returning write gave.
statement storeResult(const request_identity &Identity, std::int64_t Changes,
                      std::string Result);

statement selectRecord(const request_identity &Identity);

/// Deletes up to a bounded number of records past their retention.
statement deleteExpired(std::int64_t WallNow);

/// The record in the result of selectRecord, nothing when there is none.
std::optional<request_record> recordOf(const boost::json::value &Result);

/// Whether \p Failure says that the table of records is not there yet.
bool isMissingTable(const base::failure &Failure);

/// What a repeat finds.
enum class retry_verdict {
  Done,      ///< The request ran; the record holds its outcome.
  Cancelled, ///< An enquiry cancelled it before it ran.
  Reused,    ///< The id belongs to another request.
};

retry_verdict classifyRetry(const request_record &Record,
                            const request_identity &Identity);

} // namespace redwinggw::data
