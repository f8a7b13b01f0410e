#pragma once

#include <boost/system/result.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <system_error>

/// Typed errors. Each kind has a name that is stable across releases, a
/// message, a remedy, and the outcome that it implies for the request.
namespace redwinggw::base {

/// What is known about whether a request took effect.
enum class outcome {
  Done,    ///< The request ran and its effect is kept.
  NotRun,  ///< The request certainly had no effect and will have none.
  Unknown, ///< It may have run; the caller can query it by its request id.
};

/// The kinds of error that are reported outside the process. Zero is success.
enum class errc {
  Ok = 0,
  BadRequest,
  BadSettings,
  BadSheet,
  BadMessage,
  UnknownKey,
  NotFound,
  OverRate,
  Overloaded,
  DeadlinePassed,
  Draining,
  StaleConfiguration,
  Conflict,
  StoreUnreachable,
  InstanceUnreachable,
  EndpointUnreachable,
  EndpointRefused,
  ConnectionLimit,
  NotPrimary,
  TermReplaced,
  NoPrimary,
  OutcomeUnknown,
  RequestIdReused,
  RequestExpired,
  RequestCancelled,
  TransactionLost,
  StatementFailed,
  TruncatedAnswer,
  Internal,
};

/// One row of the table of error kinds.
struct error_kind {
  errc Code;
  std::string_view Name;
  std::string_view Message;
  std::string_view Remedy;
  outcome Outcome;
  unsigned HttpStatus;
};

/// The row of \p Code. Thread safe.
const error_kind &kindOf(errc Code);

/// The kind called \p Name, errc::Internal when there is none. Thread safe.
errc errcNamed(std::string_view Name);

/// The name of \p Value: "done", "not_run" or "unknown". Thread safe.
std::string_view outcomeName(outcome Value);

/// The std::error_category of errc. Thread safe.
const std::error_category &errorCategory();

std::error_code make_error_code(errc Code);

/// An error kind with the details of one occurrence.
struct failure {
  std::error_code Code;
  /// Names and numbers that identify the cause; never a key or statement text.
  std::string Detail;
  /// Delay after which a retry can succeed; zero if retrying is no remedy.
  std::chrono::milliseconds RetryAfter{0};

  failure() = default;
  failure(errc Kind, std::string Detail = {},
          std::chrono::milliseconds RetryAfter = {})
      : Code(make_error_code(Kind)), Detail(std::move(Detail)),
        RetryAfter(RetryAfter) {}

  friend bool operator==(const failure &, const failure &) = default;
};

/// The kind of \p Failure; errc::Internal for codes of other categories.
errc kindOf(const failure &Failure);

/// "name: message (detail); remedy", for human readers.
std::string describe(const failure &Failure);

/// Lets result<T>::value() throw std::system_error.
[[noreturn]] void throw_exception_from_error(const failure &Failure,
                                             const boost::source_location &);

/// A value, or the failure that prevented it.
template <typename Value> using result = boost::system::result<Value, failure>;

} // namespace redwinggw::base

template <>
struct std::is_error_code_enum<redwinggw::base::errc> : std::true_type {};
