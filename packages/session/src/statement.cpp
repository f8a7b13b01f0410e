#include "redwinggw/session/statement.hpp"

namespace redwinggw::session {
namespace {

constexpr std::array CodeNames = std::to_array<base::enum_name<answer_code>>({
    {answer_code::Busy, "busy"},
    {answer_code::Aborted, "aborted"},
    {answer_code::Lagging, "replica_lagging"},
    {answer_code::ReadOnly, "read_only"},
    {answer_code::Misrouted, "misrouted"},
    {answer_code::TooMany, "too_many_connections"},
    {answer_code::InDoubt, "outcome_unknown"},
    {answer_code::Timeout, "timeout"},
    {answer_code::Failed, "failed"},
    {answer_code::UnknownName, "unknown_name"},
    {answer_code::Malformed, "malformed"},
    {answer_code::Denied, "denied"},
    {answer_code::NoDatabase, "no_database"},
    {answer_code::TooLarge, "too_large"},
});

} // namespace

std::string_view answerCodeName(answer_code Code) {
  return base::nameOf(CodeNames, Code);
}

} // namespace redwinggw::session
