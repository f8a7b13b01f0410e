#include "soak_verdict.hpp"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <ranges>
#include <string_view>
#include <tuple>

namespace redwinggw::soak {
namespace {

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text.append(Part);
  return Text;
}

using base::instant;
using base::milliseconds;
using standin::simulated_platform;

constexpr milliseconds LeaseDuration{3000};
/// How long an instance has to be without a fault to be in touch.
constexpr milliseconds StableWindow{4000};

std::string secondsText(instant Time, const std::vector<fault> &Faults) {
  const instant Begin = Faults.empty() ? Time : Faults.front().Begin;
  const auto Passed = std::chrono::floor<milliseconds>(Time - Begin);
  return "+" + std::to_string(Passed.count()) + " ms";
}

bool isRecent(const fault &Fault, instant Time) {
  return Fault.Begin <= Time &&
         (!Fault.End || Time - *Fault.End < StableWindow);
}

/// The faults that an event at \p Time may be due to.
std::string recentFaults(const std::vector<fault> &Faults, instant Time) {
  std::string Text;
  for (const fault &Fault : Faults)
    if (isRecent(Fault, Time))
      Text += " [" + Fault.Text +
              (Fault.Instance.empty() ? "" : " of " + Fault.Instance) + " " +
              secondsText(Fault.Begin, Faults) + "]";
  return secondsText(Time, Faults) + ", after" + Text;
}

bool isInTouch(const std::vector<fault> &Faults, const std::string &Instance,
               instant Time) {
  return std::ranges::none_of(Faults, [&](const fault &Fault) {
    return Fault.Instance == Instance && isRecent(Fault, Time);
  });
}

void judgeWrites(const simulated_platform &World, const callers &Callers,
                 const std::vector<fault> &Faults,
                 std::vector<std::string> &Lines) {
  constexpr milliseconds Gap{500};
  for (const standin::database_group &Group : World.Groups) {
    const auto Found = Callers.acknowledged().find(Group.Service);
    std::map<std::string, instant> Last;
    for (const auto &Write : Group.FormerPrimaryWrites) {
      if (Found == Callers.acknowledged().end() ||
          !Found->second.contains(Write.StatementId))
        continue;
      const auto Before = Last.find(Write.Database);
      const bool First =
          Before == Last.end() || Write.CommittedAt - Before->second > Gap;
      Last[Write.Database] = Write.CommittedAt;
      if (First)
        Lines.push_back("ONE: write " + Write.StatementId + " and later ones " +
                        "at the former primary " + Write.Database + ", " +
                        recentFaults(Faults, Write.CommittedAt));
    }
  }
}

void judgeTokens(const simulated_platform &World,
                 const std::vector<sent_order> &Sent,
                 const std::vector<fault> &Faults,
                 std::vector<std::string> &Lines) {
  std::map<std::uint64_t, std::string> Holders;
  std::map<std::string, sent_order> Last;
  for (const sent_order &Order : Sent) {
    const std::string Text =
        joined({Order.Orderer, " with ", std::to_string(Order.Token), " for ",
                Order.Service});
    const std::string At = joined({", ", recentFaults(Faults, Order.SentAt)});
    const std::string &Holder =
        Holders.try_emplace(Order.Token, Order.Orderer).first->second;
    if (Holder != Order.Orderer)
      Lines.push_back(joined({"ONE: same token: ", Text, " and ", Holder, At}));
    const bool Lower = std::ranges::any_of(
        World.Promotions, [&](const standin::promotion &Seen) {
          return Seen.Service == Order.Service && Seen.Token > Order.Token &&
                 Seen.ArrivedAt < Order.SentAt;
        });
    if (Lower)
      Lines.push_back(joined({"ONE: lower token: ", Text, At}));
    const auto Before = Last.find(Order.Service);
    if (Before != Last.end() && Before->second.Orderer != Order.Orderer &&
        Order.SentAt - Before->second.SentAt < LeaseDuration &&
        isInTouch(Faults, Order.Orderer, Order.SentAt) &&
        isInTouch(Faults, Before->second.Orderer, Order.SentAt))
      Lines.push_back(joined(
          {"ONE: in turn: ", Before->second.Orderer, ", then ", Text, At}));
    Last[Order.Service] = Order;
  }
}

void judgeLoss(const simulated_platform &World, const callers &Callers,
               std::vector<std::string> &Lines) {
  for (const auto &[Service, Ids] : Callers.acknowledged()) {
    const auto Group = std::ranges::find(World.Groups, Service,
                                         &standin::database_group::Service);
    if (Group->SynchronousReplicas == 0)
      continue;
    const auto Leader = std::ranges::find(Group->Databases, Group->Leader,
                                          &standin::simulated_database::Name);
    std::set<std::string> Kept;
    for (const standin::log_entry &Entry : Leader->Log)
      Kept.insert(Entry.StatementId);
    std::vector<std::string> Lost;
    std::ranges::set_difference(Ids, Kept, std::back_inserter(Lost));
    if (!Lost.empty())
      Lines.push_back("LOST: " + std::to_string(Lost.size()) + " writes of " +
                      Service + ", " + Lost.front() + " among them");
  }
}

/// The first lines on what was sent, run and answered at \p Group.
void judgeAnswers(const standin::database_group &Group, const callers &Callers,
                  std::vector<std::string> &Lines) {
  constexpr std::size_t Most = 10;
  const auto Found = Callers.records().find(Group.Service);
  if (Found == Callers.records().end())
    return;
  const auto Violations = fleet::judgeStatements(Group, Found->second);
  std::ranges::copy(Violations | std::views::take(Most),
                    std::back_inserter(Lines));
  if (Violations.size() > Most)
    Lines.push_back(std::to_string(Violations.size() - Most) +
                    " more of what was sent, run and answered");
}

} // namespace

std::vector<std::string> judge(fleet::native_fleet &Fleet,
                               const std::vector<sent_order> &Sent,
                               const callers &Callers,
                               const std::vector<fault> &Faults) {
  std::vector<std::string> Lines;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    judgeWrites(World, Callers, Faults, Lines);
    judgeTokens(World, Sent, Faults, Lines);
    judgeLoss(World, Callers, Lines);
    for (const standin::database_group &Group : World.Groups)
      judgeAnswers(Group, Callers, Lines);
  });
  return Lines;
}

} // namespace redwinggw::soak
