#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a third reserve in the window in which owners die in turn.
Test(bucket_reserve, keeps_every_window_when_owners_die_in_turn) {
  for (const int Between : {1000, 1500, 2500})
    checkEveryWindow("in turn", [&](reserve_fleet &Fleet) {
      std::size_t Next = Fleet.owner();
      for (int Deaths = 0; Deaths < 3; ++Deaths) {
        Fleet.AlsoDead.push_back(Next);
        Next = std::stoul(
            findByHash(Fleet.Members[Next == 0 ? 1 : 0],
                       Fleet.Reserves[Next].Customers.at("acme").Second)
                ->Name.substr(1));
        flood(Fleet, milliseconds(Between));
      }
      flood(Fleet, Long);
    });
}
