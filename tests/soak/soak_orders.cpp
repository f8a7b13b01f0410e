#include "soak_orders.hpp"

#include <string_view>

namespace redwinggw::soak {
namespace {

std::string fieldIn(std::string_view Text, std::string_view Before,
                    std::string_view After) {
  const std::size_t Found = Text.find(Before);
  if (Found == std::string_view::npos)
    return {};
  const std::string_view Rest = Text.substr(Found + Before.size());
  return std::string(Rest.substr(0, Rest.find(After)));
}

} // namespace

void recordOrders(fleet::native_fleet &Fleet, std::vector<sent_order> &Sent) {
  Fleet.World.runOnThread([&](standin::simulated_platform &) {
    for (const fleet::native_process &Instance : Fleet.Instances)
      Instance.Promotions->onClientBytes([&Sent, Name = Instance.Name](
                                             std::string_view Bytes) {
        const std::string Token =
            fieldIn(Bytes, "Redwinggw-Fencing-Token: ", "\r");
        if (!Token.empty())
          Sent.push_back(
              {Name, std::stoull(Token), fieldIn(Bytes, "\"service\":\"", "\""),
               fieldIn(Bytes, "\"identifier\":\"", "\""), base::now()});
      });
  });
}

} // namespace redwinggw::soak
