#include "redwinggw/session/instance_list.hpp"

#include <cmath>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

// Owners follow from capacities, which are rounded there: see owner_cost.hpp.
Test(instance_list, survives_encoding) {
  std::vector<storage::listed_instance> Instances(2);
  Instances[0].Name = "a";
  Instances[0].Zone = "z";
  Instances[0].Peers = {"10.1.0.3", 7560};
  Instances[0].Capacity = 0.1 + 0.02;
  Instances[1].Name = "b";
  Instances[1].Peers = {"10.1.0.4", 7560};
  const auto Read = decodeInstances(encodeInstances(Instances));
  cr_assert(Read && Read->size() == 2);
  cr_assert(Read->front().Name == "a" && Read->front().Zone == "z");
  cr_assert(toText(Read->front().Peers) == "10.1.0.3:7560");
  constexpr double Rounding = 1e-9;
  cr_assert(std::abs(Read->front().Capacity - Instances[0].Capacity) <
            Rounding);
}

Test(instance_list, refuses_what_is_not_a_list) {
  for (const char *Text : {"", "{}", "[1]", R"([["a","z","no address",1]])",
                           R"([["a","z","10.1.0.3:7560"]])"})
    cr_assert(!decodeInstances(Text), "%s", Text);
}
