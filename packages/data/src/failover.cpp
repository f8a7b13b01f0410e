#include "redwinggw/data/failover.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/data/confirm.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace redwinggw::data {
namespace {

namespace json = boost::json;
using base::enum_name;
using base::errc;
using base::failure;

constexpr std::array RecordStates = std::to_array<enum_name<record_state>>({
    {record_state::Ordering, "ordering"},
    {record_state::Done, "done"},
});

constexpr std::array StepNames = std::to_array<enum_name<failover_step>>({
    {failover_step::Idle, "idle"},
    {failover_step::Claiming, "claiming"},
    {failover_step::Resolving, "resolving"},
    {failover_step::Sealing, "sealing"},
    {failover_step::Promoting, "promoting"},
    {failover_step::Recording, "recording"},
    {failover_step::Done, "done"},
    {failover_step::Superseded, "superseded"},
    {failover_step::GivenUp, "given up"},
});

bool isAhead(const endpoint_state &Left, const endpoint_state &Right) {
  return std::tuple(lastEntryTerm(Left), Left.Received) >
         std::tuple(lastEntryTerm(Right), Right.Received);
}

std::vector<const endpoint_state *>
candidatesOf(const std::vector<endpoint_state> &Sealed, std::size_t Members,
             const std::optional<base::endpoint_name> &Suspected) {
  std::vector<const endpoint_state *> All;
  std::vector<const endpoint_state *> Others;
  for (const endpoint_state &State : Sealed) {
    All.push_back(&State);
    if (State.Name != Suspected)
      Others.push_back(&State);
  }
  // A primary that is cut off from its replicas has the longest log, with
  // entries that were never acknowledged. If it were promoted again, it would
  // still be cut off. Every acknowledged write is also on a majority without
  // it, so it can be left out whenever the others are a majority.
  return Others.size() >= majorityOf(Members) ? Others : All;
}

/// The address of \p Member, null when unknown.
const endpoint_address *
addressOf(const std::vector<endpoint_address> &Addresses,
          std::string_view Member) {
  const auto Found =
      std::ranges::find(Addresses, Member, &endpoint_address::Name);
  return Found == Addresses.end() ? nullptr : &*Found;
}

std::vector<endpoint_address> addressesOf(const group_view &View) {
  std::vector<endpoint_address> Addresses;
  std::ranges::transform(View.Members, std::back_inserter(Addresses),
                         [](const member_view &Member) {
                           return endpoint_address{Member.Endpoint.Name,
                                                   Member.Endpoint.Address};
                         });
  return Addresses;
}

bool mustFollow(const endpoint_state &State, base::term_number Term) {
  const bool Behind = State.Term < Term;
  const bool LeftSealed =
      State.Term == Term && State.Role == endpoint_role::Sealed;
  return Behind || LeftSealed;
}

} // namespace

std::string recordKey(std::string_view Group) {
  return "group/" + std::string(Group);
}

std::string toText(const failover_record &Record) {
  const json::object Object{{"term", Record.Term},
                            {"order", Record.Order},
                            {"orderer", Record.Orderer},
                            {"state", base::nameOf(RecordStates, Record.State)},
                            {"primary", Record.Primary}};
  return json::serialize(Object);
}

base::result<failover_record> parseRecord(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Text, Error);
  if (Error || !Value.is_object())
    return failure(errc::BadMessage, "malformed failover record");
  const json::object &Object = Value.get_object();
  const auto TextOf = [&](std::string_view Name) {
    const json::value *Field = Object.if_contains(Name);
    return Field != nullptr && Field->is_string()
               ? std::string(Field->get_string())
               : std::string();
  };
  const json::value *Term = Object.if_contains("term");
  const auto State = base::valueOf(RecordStates, TextOf("state"));
  if (Term == nullptr || !Term->is_number() || !State)
    return failure(errc::BadMessage, "malformed failover record");
  failover_record Record;
  Record.Term = Term->to_number<base::term_number>(Error);
  Record.Order = TextOf("order");
  Record.Orderer = TextOf("orderer");
  Record.State = *State;
  Record.Primary = TextOf("primary");
  return Record;
}

base::term_number lastEntryTerm(const endpoint_state &State) {
  // A history row that starts at the end of the log has no entries yet: the
  // member took over a term's history but none of its entries.
  base::term_number Last = 0;
  for (const history_row &Row : State.History)
    if (Row.Start < State.Received)
      Last = std::max(Last, Row.Term);
  return Last;
}

const endpoint_state &
chooseMember(const std::vector<endpoint_state> &Sealed, std::size_t Members,
             const std::optional<base::endpoint_name> &Suspected,
             const failover_parameters &Parameters) {
  const auto Candidates = candidatesOf(Sealed, Members, Suspected);
  const auto Ahead = [&](const endpoint_state *Left,
                         const endpoint_state *Right) {
    // Every acknowledged write is on a majority and therefore on at least one
    // sealed member; the most advanced log contains them all.
    if (Parameters.ChooseMostAdvanced)
      return isAhead(*Left, *Right);
    return isAhead(*Right, *Left);
  };
  return **std::ranges::min_element(Candidates, Ahead);
}

bool mayClaim(row_watch &Watch, const versioned_record &Row,
              const group_view &View,
              std::optional<base::instant> NoPrimarySince,
              const failover_parameters &Parameters, base::instant Now) {
  if (Watch.Version != Row.Version || Watch.FirstSeen == base::instant())
    Watch = {Row.Version, Now};
  if (!Row.Record)
    return true;
  // If the record's term is higher than the view's, even if it is done, the
  // suspected primary was already replaced: another claim would stop the new
  // primary as soon as it started.
  const bool SameTerm = Row.Record->Term == View.Term;
  const bool Settled =
      Row.Record->Term < View.Term || (SameTerm && View.Primary);
  if (Settled)
    return true;
  const base::instant Since = SameTerm && NoPrimarySince
                                  ? std::min(Watch.FirstSeen, *NoPrimarySince)
                                  : Watch.FirstSeen;
  return Now - Since >= Parameters.OtherOrderTimeout;
}

std::vector<follow_member> membersToReconcile(const group_view &View) {
  std::vector<follow_member> Orders;
  if (!View.Primary)
    return Orders;
  const member_view *Primary = findMember(View, *View.Primary);
  const bool IsCurrentPrimary = Primary != nullptr && Primary->State &&
                                Primary->State->Term == View.Term &&
                                Primary->State->Role == endpoint_role::Primary;
  if (!IsCurrentPrimary)
    return Orders;
  const auto Addresses = addressesOf(View);
  const endpoint_address *Target = addressOf(Addresses, *View.Primary);
  for (const member_view &Member : View.Members) {
    const bool Answers = Member.State && Member.Failures == 0;
    if (!Answers || Member.Endpoint.Name == *View.Primary)
      continue;
    if (mustFollow(*Member.State, View.Term))
      Orders.push_back({{Member.Endpoint.Name, Member.Endpoint.Address},
                        View.Term,
                        Primary->State->Order,
                        *Target});
  }
  return Orders;
}

bool isFinal(failover_step Step) {
  return Step == failover_step::Done || Step == failover_step::Superseded ||
         Step == failover_step::GivenUp;
}

std::string_view stepName(failover_step Step) {
  return base::nameOf(StepNames, Step);
}

} // namespace redwinggw::data
