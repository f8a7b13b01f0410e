#include "redwinggw/data/caller_message.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace redwinggw::data {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

constexpr std::int64_t DefaultDeadline = 5000;
constexpr std::int64_t MaxDeadline = 60000;
constexpr std::size_t MaxRequestIdLength = 64;
constexpr std::int64_t MillisecondsPerSecond = 1000;

failure badRequest(std::string Detail) {
  return {errc::BadRequest, std::move(Detail)};
}

/// First words of statements that would end or leave the transaction which
/// contains the request's record, or change the connection's state for its next
/// user.
constexpr std::array<std::string_view, 11> ForbiddenWords{
    "begin", "commit", "end",    "rollback", "savepoint", "release",
    "start", "attach", "detach", "pragma",   "vacuum"};

/// \p Sql without the white space, comments and semicolons that precede its
/// first word and could hide a forbidden word.
std::string_view withoutLeadingComments(std::string_view Sql) {
  while (!Sql.empty()) {
    if (Sql.starts_with("--")) {
      const std::size_t End = Sql.find('\n');
      Sql.remove_prefix(End == std::string_view::npos ? Sql.size() : End + 1);
    } else if (Sql.starts_with("/*")) {
      const std::size_t End = Sql.find("*/");
      Sql.remove_prefix(End == std::string_view::npos ? Sql.size() : End + 2);
    } else if (Sql.front() == ';' ||
               std::isspace(static_cast<unsigned char>(Sql.front())) != 0) {
      Sql.remove_prefix(1);
    } else {
      return Sql;
    }
  }
  return Sql;
}

std::string toLower(std::string_view Text) {
  std::string Lower(Text);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  });
  return Lower;
}

result<void> checkSql(std::string_view Sql) {
  const std::string Text = toLower(withoutLeadingComments(Sql));
  if (Text.empty())
    return badRequest("sql is empty; give one statement");
  const auto *WordEnd = std::ranges::find_if_not(
      Text.data(), Text.data() + Text.size(),
      [](unsigned char Character) { return std::isalpha(Character) != 0; });
  const std::string_view Word(Text.data(), WordEnd);
  if (std::ranges::find(ForbiddenWords, Word) != ForbiddenWords.end())
    return badRequest("sql may not begin with '" + std::string(Word) +
                      "'; use /v1/begin, /v1/commit and /v1/rollback");
  if (Text.find("redwinggw_") != std::string::npos)
    return badRequest("sql may not name tables that begin with 'redwinggw_'");
  return {};
}

/// Reads fields of one JSON object and keeps the first error.
struct field_reader {
  const json::object &Object;
  std::optional<failure> FirstError;

  void fail(std::string_view Name, std::string_view Allowed) {
    if (!FirstError)
      FirstError = badRequest("field '" + std::string(Name) + "' must be " +
                              std::string(Allowed));
  }
};

std::string readText(field_reader &Reader, std::string_view Name,
                     bool Required) {
  const json::value *Value = Reader.Object.if_contains(Name);
  if (Value != nullptr && Value->is_string() &&
      (!Required || !Value->get_string().empty()))
    return std::string(Value->get_string());
  if (Value != nullptr || Required)
    Reader.fail(Name, "a text that is not empty");
  return {};
}

std::int64_t readInteger(field_reader &Reader, std::string_view Name,
                         std::int64_t Default) {
  const json::value *Value = Reader.Object.if_contains(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_int64())
    Reader.fail(Name, "an integer");
  return Value->is_int64() ? Value->get_int64() : Default;
}

bool isParameter(const json::value &Value) {
  return Value.is_null() || Value.is_number() || Value.is_string();
}

json::array readParams(field_reader &Reader) {
  const json::value *Value = Reader.Object.if_contains("params");
  if (Value == nullptr)
    return {};
  if (!Value->is_array() ||
      !std::ranges::all_of(Value->get_array(), isParameter)) {
    Reader.fail("params", "a list of null, numbers and texts");
    return {};
  }
  return Value->get_array();
}

access_kind readAccess(field_reader &Reader) {
  const std::string Access = readText(Reader, "access", false);
  if (Access == "write")
    return access_kind::Write;
  if (!Access.empty() && Access != "read")
    Reader.fail("access", "'read' or 'write'");
  return access_kind::Read;
}

bool readFlag(field_reader &Reader, std::string_view Name) {
  const json::value *Value = Reader.Object.if_contains(Name);
  if (Value == nullptr)
    return false;
  if (!Value->is_bool())
    Reader.fail(Name, "true or false");
  return Value->is_bool() && Value->get_bool();
}

void readIdentity(field_reader &Reader, caller_request &Request,
                  bool Required) {
  Request.RequestId = readText(Reader, "request_id", Required);
  if (Request.RequestId.size() > MaxRequestIdLength)
    Reader.fail("request_id", "at most 64 characters long");
  Request.IssuedAt = readInteger(Reader, "issued_at", 0);
  if (Required && Request.IssuedAt <= 0)
    Reader.fail("issued_at", "the wall clock of the first try in milliseconds");
}

json::object bodyOf(caller_answer &Answer) {
  json::object Body;
  Body["outcome"] = base::outcomeName(base::outcome::Done);
  if (Answer.Result.is_object())
    for (json::key_value_pair &Field : Answer.Result.get_object())
      Body[Field.key()] = std::move(Field.value());
  if (!Answer.Session.empty())
    Body["session"] = Answer.Session;
  if (!Answer.Transaction.empty())
    Body["transaction"] = Answer.Transaction;
  if (!Answer.ServedBy.empty())
    Body["served_by"] = Answer.ServedBy;
  if (Answer.Repeated)
    Body["repeated"] = true;
  return Body;
}

} // namespace

result<caller_request> parseCallerRequest(std::string_view Body,
                                          const caller_fields &Needed) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Body, Error);
  if (Error || !Value.is_object())
    return badRequest("the body must be a JSON object");
  field_reader Reader{Value.get_object(), {}};
  caller_request Request;
  Request.Service = readText(Reader, "service", Needed.Service);
  Request.Access = readAccess(Reader);
  Request.Statement.Sql = readText(Reader, "sql", Needed.Sql);
  Request.Statement.Params = readParams(Reader);
  Request.Returning = readFlag(Reader, "returning");
  Request.Read = readText(Reader, "read", false);
  Request.Session = readText(Reader, "session", false);
  Request.HasSession = !Request.Session.empty();
  Request.Transaction = readText(Reader, "transaction", Needed.Transaction);
  const bool NeedsRequestId =
      Needed.RequestId || (Needed.Service && !Needed.Transaction &&
                           Request.Access == access_kind::Write);
  readIdentity(Reader, Request, NeedsRequestId);
  const std::int64_t Deadline =
      readInteger(Reader, "deadline_ms", DefaultDeadline);
  if (Deadline < 1 || Deadline > MaxDeadline)
    Reader.fail("deadline_ms", "from 1 to 60000");
  Request.Deadline = base::milliseconds(Deadline);
  if (Reader.FirstError)
    return *Reader.FirstError;
  if (Needed.Sql)
    if (const auto Checked = checkSql(Request.Statement.Sql); !Checked)
      return Checked.error();
  return Request;
}

http::response toResponse(caller_answer Answer) {
  http::response Response;
  Response.Body = json::serialize(bodyOf(Answer));
  return Response;
}

http::response toResponse(const failure &Failure) {
  const base::error_kind &Kind = base::kindOf(kindOf(Failure));
  json::object Body{{"outcome", base::outcomeName(Kind.Outcome)},
                    {"error", Kind.Name},
                    {"message", Kind.Message},
                    {"remedy", Kind.Remedy}};
  if (!Failure.Detail.empty())
    Body["detail"] = Failure.Detail;
  http::response Response;
  Response.Status = Kind.HttpStatus;
  if (Failure.RetryAfter > base::milliseconds(0)) {
    Body["retry_after_ms"] = Failure.RetryAfter.count();
    Response.RetryAfter = static_cast<unsigned>(
        (Failure.RetryAfter.count() + MillisecondsPerSecond - 1) /
        MillisecondsPerSecond);
  }
  Response.Body = json::serialize(Body);
  return Response;
}

std::string_view bearerKey(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (!Authorization.starts_with(Scheme))
    return {};
  return Authorization.substr(Scheme.size());
}

} // namespace redwinggw::data
