#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/endpoint.hpp"
#include "redwinggw/data/request_record.hpp"
#include "redwinggw/data/routing.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

/// Parses callers' requests and builds the answers; docs/CALLERS.md describes
/// the format.
namespace redwinggw::data {

enum class access_kind { Read, Write };

/// A caller's request; only its format has been checked.
struct caller_request {
  std::string Service;
  access_kind Access = access_kind::Read;
  statement Statement;
  bool Returning = false;
  std::string Read;
  std::string Session;
  bool HasSession = false;
  std::string RequestId;
  std::int64_t IssuedAt = 0;
  std::string Transaction;
  base::milliseconds Deadline{0};
};

/// The fields that a path requires.
struct caller_fields {
  bool Service = false;
  bool Sql = false;
  bool Transaction = false;
  /// A request id is required even for reads; writes always need one.
  bool RequestId = false;
};

/// Parses the body of a request. Fails with errc::BadRequest; the detail names
/// the field and the allowed values.
base::result<caller_request> parseCallerRequest(std::string_view Body,
                                                const caller_fields &Needed);

/// Answer to a caller.
struct caller_answer {
  /// Result of the statement; null for requests without one.
  boost::json::value Result;
  std::string Session;
  std::string Transaction;
  /// "primary" or "replica"; empty when no endpoint was asked.
  std::string_view ServedBy;
  bool Repeated = false;
};

http::response toResponse(caller_answer Answer);
http::response toResponse(const base::failure &Failure);

/// The key in an Authorization header, empty when there is none.
std::string_view bearerKey(std::string_view Authorization);

} // namespace redwinggw::data
