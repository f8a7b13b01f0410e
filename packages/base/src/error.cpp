#include "redwinggw/base/error.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>

namespace redwinggw::base {
namespace {

using enum outcome;

constexpr std::array Kinds = std::to_array<error_kind>({
    {errc::Ok, "ok", "no error", "nothing to do", Done, 200},
    {errc::BadRequest, "bad_request", "the request is not well formed",
     "correct the named field and send it again", NotRun, 400},
    {errc::BadSettings, "bad_settings", "the settings are not valid",
     "correct the named line; --check validates without starting", NotRun, 400},
    {errc::BadSheet, "bad_sheet", "the sheet has faults",
     "correct the named rows and submit the sheet again", NotRun, 422},
    {errc::BadMessage, "bad_message", "a message could not be read",
     "check that all instances run one release and share the fleet key", NotRun,
     400},
    {errc::UnknownKey, "unknown_key", "the key is not in force",
     "send a key that the operators gave and have not withdrawn", NotRun, 401},
    {errc::NotFound, "not_found", "there is nothing of that name",
     "check the name against the sheet in force", NotRun, 404},
    {errc::OverRate, "over_rate", "the customer's rate and burst are used up",
     "come back after the stated time", NotRun, 429},
    {errc::Overloaded, "overloaded",
     "the request could not be served before its deadline",
     "come back after the stated time", NotRun, 503},
    {errc::DeadlinePassed, "deadline_passed", "the deadline passed",
     "repeat with the same request id and a longer deadline", NotRun, 504},
    {errc::Draining, "draining", "this instance is stopping",
     "send the request to another instance", NotRun, 503},
    {errc::StaleConfiguration, "stale_configuration",
     "this instance cannot tell whether its configuration is current",
     "send the request to another instance", NotRun, 503},
    {errc::Conflict, "conflict", "another change was accepted first",
     "read the version in force, merge, and submit again", NotRun, 409},
    {errc::StoreUnreachable, "store_unreachable",
     "the platform's store does not answer",
     "wait for the store; what is in force stays in force", Unknown, 503},
    {errc::InstanceUnreachable, "instance_unreachable",
     "the instance does not answer",
     "check that it runs and its address; name other instances too", NotRun,
     503},
    {errc::EndpointUnreachable, "endpoint_unreachable",
     "the database does not answer", "come back after the stated time", NotRun,
     503},
    {errc::EndpointRefused, "endpoint_refused",
     "the database refused before running", "come back after the stated time",
     NotRun, 503},
    {errc::ConnectionLimit, "connection_limit",
     "the database has no connection left", "come back after the stated time",
     NotRun, 503},
    {errc::NotPrimary, "not_primary", "the database is not the primary",
     "come back after the stated time", NotRun, 503},
    {errc::TermReplaced, "term_replaced", "the primary has been replaced",
     "come back after the stated time", NotRun, 503},
    {errc::NoPrimary, "no_primary", "the group has no primary at the moment",
     "come back after the stated time", NotRun, 503},
    {errc::OutcomeUnknown, "outcome_unknown",
     "the request may or may not have run",
     "repeat it with the same request id, or ask for the outcome by that id",
     Unknown, 504},
    {errc::RequestIdReused, "request_id_reused",
     "the request id was used with another body",
     "use a new request id for a new request", NotRun, 409},
    {errc::RequestExpired, "request_expired",
     "the request is older than outcomes are kept",
     "look up its effect in the data, then use a new request id", Unknown, 410},
    {errc::RequestCancelled, "request_cancelled",
     "the request was cancelled by an enquiry before it ran",
     "use a new request id", NotRun, 409},
    {errc::TransactionLost, "transaction_lost",
     "the transaction was rolled back", "begin it again", NotRun, 409},
    {errc::StatementFailed, "statement_failed",
     "the database refused the statement",
     "correct the statement as the detail says", NotRun, 422},
    {errc::TruncatedAnswer, "truncated_answer", "the answer was cut short",
     "repeat the request with the same request id", Unknown, 502},
    {errc::Internal, "internal", "an unexpected fault",
     "report it with the log of this time", Unknown, 500},
});

constexpr std::array OutcomeNames = std::to_array<enum_name<outcome>>({
    {Done, "done"},
    {NotRun, "not_run"},
    {Unknown, "unknown"},
});

class category final : public std::error_category {
public:
  const char *name() const noexcept override { return "redwinggw"; }
  std::string message(int Value) const override {
    const error_kind &Kind = kindOf(static_cast<errc>(Value));
    return std::string(Kind.Message) + "; " + std::string(Kind.Remedy);
  }
};

} // namespace

const error_kind &kindOf(errc Code) {
  const auto *Row = std::ranges::find(Kinds, Code, &error_kind::Code);
  return Row == Kinds.end() ? Kinds.back() : *Row;
}

errc errcNamed(std::string_view Name) {
  const auto *Row = std::ranges::find(Kinds, Name, &error_kind::Name);
  return Row == Kinds.end() ? errc::Internal : Row->Code;
}

std::string_view outcomeName(outcome Value) {
  return nameOf(OutcomeNames, Value);
}

const std::error_category &errorCategory() {
  static const category Category;
  return Category;
}

std::error_code make_error_code(errc Code) {
  return {static_cast<int>(Code), errorCategory()};
}

errc kindOf(const failure &Failure) {
  if (Failure.Code.category() != errorCategory())
    return errc::Internal;
  return static_cast<errc>(Failure.Code.value());
}

std::string describe(const failure &Failure) {
  const error_kind &Kind = kindOf(kindOf(Failure));
  std::string Text = std::string(Kind.Name) + ": " + std::string(Kind.Message);
  if (!Failure.Detail.empty())
    Text += " (" + Failure.Detail + ")";
  return Text + "; " + std::string(Kind.Remedy);
}

void throw_exception_from_error(const failure &Failure,
                                const boost::source_location &) {
  throw std::system_error(Failure.Code, Failure.Detail);
}

} // namespace redwinggw::base
