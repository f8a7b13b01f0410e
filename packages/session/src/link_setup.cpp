#include "link_setup.hpp"

namespace redwinggw::session {
namespace {

bool isDone(const exchange &Exchange) {
  return Exchange.Outcome == exchange_outcome::Answered &&
         !Exchange.Answer.Error;
}

base::task<bool> runOwn(pooled_link &Link, std::string Text,
                        base::instant Deadline) {
  const exchange Exchange =
      co_await Link.Link->run({}, Text, std::nullopt, Deadline);
  co_return isDone(Exchange);
}

base::task<bool> reset(pooled_link &Link, base::instant Deadline) {
  Link.ValuesKnown = false;
  Link.Values.clear();
  Link.Prepared.clear();
  const bool Done = co_await runOwn(Link, Link.Link->resetText(), Deadline);
  Link.ValuesKnown = Done;
  co_return Done;
}

} // namespace

base::task<bool> prepareLink(pooled_link &Link, const caller_session &Session,
                             base::instant Deadline) {
  const session_values &Wanted = Session.Values;
  if (Link.ValuesKnown && Link.Values == Wanted)
    co_return true;
  const bool Settable =
      Link.ValuesKnown && reachableBySetting(Link.Values, Wanted);
  if (!Settable) {
    const bool Done = co_await reset(Link, Deadline);
    if (!Done)
      co_return false;
  }
  for (const auto &[Name, Value] : Wanted) {
    const auto Present = Link.Values.find(Name);
    if (Present != Link.Values.end() && Present->second == Value)
      continue;
    std::string Text = Link.Link->setText(Name, Value);
    const bool Done = co_await runOwn(Link, std::move(Text), Deadline);
    if (!Done) {
      Link.ValuesKnown = false;
      co_return false;
    }
    Link.Values.insert_or_assign(Name, Value);
  }
  co_return true;
}

base::task<std::string> prepareStatement(pooled_link &Link,
                                         std::string_view Operand,
                                         base::instant Deadline) {
  if (const auto Found = Link.Prepared.find(Operand);
      Found != Link.Prepared.end())
    co_return Found->second;
  std::string Name = "p" + std::to_string(Link.Prepared.size() + 1);
  std::string Text = Link.Link->prepareText(Name, Operand);
  const bool Done = co_await runOwn(Link, std::move(Text), Deadline);
  if (!Done)
    co_return std::string();
  Link.Prepared.emplace(Operand, Name);
  co_return Name;
}

} // namespace redwinggw::session
