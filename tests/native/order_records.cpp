#include "order_records.hpp"

#include <map>
#include <ranges>

namespace redwinggw::fleet {

using standin::simulated_platform;

std::vector<std::string>
writesAtFormerPrimaries(simulated_platform &World,
                        const acknowledged_ids &Acknowledged) {
  std::vector<std::string> Lines;
  World.runOnThread([&](simulated_platform &) {
    for (const standin::database_group &Group : World.Groups)
      for (const standin::former_primary_write &Write :
           Group.FormerPrimaryWrites)
        if (Acknowledged.contains(Write.StatementId))
          Lines.push_back(Write.StatementId + " at " + Write.Database + " of " +
                          Group.Service);
  });
  return Lines;
}

std::vector<std::string> sharedTokens(simulated_platform &World) {
  std::vector<std::string> Lines;
  World.runOnThread([&](simulated_platform &) {
    std::map<std::uint64_t, std::string> Holders;
    for (const standin::promotion &Promotion : World.Promotions) {
      const auto &Holder =
          Holders.try_emplace(Promotion.Token, Promotion.Orderer).first->second;
      if (Holder != Promotion.Orderer)
        Lines.push_back("token " + std::to_string(Promotion.Token) + " of " +
                        Holder + " and " + Promotion.Orderer);
    }
  });
  return Lines;
}

std::string summaryOf(const std::vector<std::string> &Lines) {
  constexpr std::size_t Shown = 3;
  std::string Text = std::to_string(Lines.size());
  for (const std::string &Line : Lines | std::views::take(Shown))
    Text += "; " + Line;
  return Text;
}

} // namespace redwinggw::fleet
