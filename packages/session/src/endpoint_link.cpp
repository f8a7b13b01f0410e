#include "redwinggw/session/endpoint_link.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <array>

namespace redwinggw::session {
namespace {

constexpr std::array OutcomeNames =
    std::to_array<base::enum_name<exchange_outcome>>({
        {exchange_outcome::Answered, "answered"},
        {exchange_outcome::NotSent, "not_sent"},
        {exchange_outcome::Broken, "broken"},
        {exchange_outcome::TimedOut, "timed_out"},
    });

constexpr std::array FaultNames = std::to_array<base::enum_name<answer_fault>>({
    {answer_fault::None, "none"},
    {answer_fault::Incomplete, "incomplete"},
    {answer_fault::Malformed, "malformed"},
    {answer_fault::OutOfOrder, "out_of_order"},
    {answer_fault::Mismatched, "mismatched"},
});

} // namespace

std::string_view outcomeName(exchange_outcome Outcome) {
  return base::nameOf(OutcomeNames, Outcome);
}

std::string_view answerFaultName(answer_fault Fault) {
  return base::nameOf(FaultNames, Fault);
}

} // namespace redwinggw::session
