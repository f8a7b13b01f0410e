#include "redwinggw/control/traffic_limit.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::milliseconds;

namespace {

constexpr instant Start{milliseconds(1000)};

waiting_read part(std::uint16_t Number, std::uint64_t Version = 1) {
  waiting_read Read{"i1", {}};
  Read.Read.Part = Number;
  Read.Read.Version = Version;
  return Read;
}

/// How many reads of \p Bytes each are sent at \p Now.
std::size_t sentAt(traffic_limit &Limit, std::size_t Bytes, instant Now) {
  std::size_t Count = 0;
  for (; nextRead(Limit, Now); ++Count)
    chargeTraffic(Limit, Bytes, Now);
  return Count;
}

} // namespace

// Guards against lists that fill a slow link while heartbeats are sent.
Test(traffic_limit, delays_lists_until_there_is_room) {
  traffic_limit Limit;
  Limit.BytesPerSecond = controlBytesPerSecond(0.8);
  for (std::uint16_t Number = 0; Number < 30; ++Number)
    enqueueRead(Limit, part(Number));
  const std::size_t First = sentAt(Limit, 2500, Start);
  cr_assert(First >= 1 && First <= 6, "%zu", First);
  cr_assert(sentAt(Limit, 2500, Start) == 0);
  // Heartbeats come first.
  chargeTraffic(Limit, 25'000, Start);
  cr_assert(sentAt(Limit, 2500, Start + milliseconds(500)) == 0);
  std::size_t Sent = First;
  for (milliseconds Time{1000}; Time < milliseconds(6000);
       Time += milliseconds(50))
    Sent += sentAt(Limit, 2500, Start + Time);
  cr_assert(Sent == 30, "%zu", Sent);
}

// Guards against lists that are never sent where heartbeats alone exceed the
// limit for a while.
Test(traffic_limit, forgets_what_exceeded_it_after_a_second) {
  traffic_limit Limit;
  Limit.BytesPerSecond = 1000;
  chargeTraffic(Limit, 1'000'000, Start);
  enqueueRead(Limit, part(0));
  cr_assert(sentAt(Limit, 100, Start + milliseconds(900)) == 0);
  cr_assert(sentAt(Limit, 100, Start + milliseconds(1100)) == 1);
}

// Guards against old lists that are sent before the newest one.
Test(traffic_limit, replaces_a_part_that_waits) {
  traffic_limit Limit;
  enqueueRead(Limit, part(0, 1));
  enqueueRead(Limit, part(1, 1));
  enqueueRead(Limit, part(0, 2));
  enqueueRead(Limit, part(1, 2));
  cr_assert(Limit.Waiting.size() == 2);
  const auto Next = nextRead(Limit, Start);
  cr_assert(Next && Next->Read.Version == 2);
  for (int Count = 0; Count < 3000; ++Count) {
    waiting_read Read = part(0);
    Read.To = std::to_string(Count);
    enqueueRead(Limit, Read);
  }
  cr_assert(Limit.Waiting.size() <= 1000);
}

// Guards against a limit where the link is not known.
Test(traffic_limit, is_off_without_a_link) {
  traffic_limit Limit;
  Limit.BytesPerSecond = controlBytesPerSecond(0);
  chargeTraffic(Limit, 1'000'000'000, Start);
  enqueueRead(Limit, part(0));
  cr_assert(sentAt(Limit, 100'000, Start) == 1);
}
