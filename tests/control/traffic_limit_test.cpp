#include "redwinggw/control/traffic_limit.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::milliseconds;

namespace {

constexpr instant Start{milliseconds(1000)};

waiting_read part(std::uint16_t Number, std::uint64_t Version = 1) {
  waiting_read Read{"i1", {}, Start};
  Read.Read.Part = Number;
  Read.Read.Version = Version;
  return Read;
}

waiting_read small(wire::shared_read_kind Kind) {
  waiting_read Read = part(0);
  Read.Read.Kind = Kind;
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

// Guards against a relay that sends no lists, and instances that read the store
// themselves, where heartbeats exceed the limit all the time.
Test(traffic_limit, sends_lists_under_sustained_load) {
  traffic_limit Limit;
  Limit.BytesPerSecond = 1000;
  std::optional<milliseconds> SentAfter;
  for (milliseconds Time{0}; Time < milliseconds(10'000);
       Time += milliseconds(100)) {
    chargeTraffic(Limit, 110, Start + Time);
    if (Time == milliseconds(7000)) {
      waiting_read List = part(0);
      List.EnqueuedAt = Start + Time;
      enqueueRead(Limit, List);
    } else if (sentAt(Limit, 100, Start + Time) > 0) {
      cr_assert(!SentAfter);
      SentAfter = Time - milliseconds(7000);
    }
  }
  cr_assert(SentAfter == milliseconds(1000));
}

// Guards against digests, changes and requests that wait behind lists.
Test(traffic_limit, does_not_delay_small_reads) {
  using enum wire::shared_read_kind;
  traffic_limit Limit;
  Limit.BytesPerSecond = 1000;
  chargeTraffic(Limit, 10'000, Start);
  enqueueRead(Limit, part(0));
  for (const auto Kind :
       {EndpointsUnchanged, EndpointChanges, EndpointsRequest})
    enqueueRead(Limit, small(Kind));
  cr_assert(sentAt(Limit, 100, Start) == 3);
  cr_assert(Limit.Waiting.front().Read.Kind == Endpoints);
}

// Guards against a digest that overtakes the change to the list that it stands
// for: the receiver would request the whole list.
Test(traffic_limit, sends_a_digest_after_its_change) {
  using enum wire::shared_read_kind;
  traffic_limit Limit;
  for (const auto Kind :
       {EndpointsUnchanged, EndpointChanges, EndpointsUnchanged})
    enqueueRead(Limit, small(Kind));
  const auto First = nextRead(Limit, Start);
  cr_assert(First && First->Read.Kind == EndpointChanges);
  const auto Second = nextRead(Limit, Start);
  cr_assert(Second && Second->Read.Kind == EndpointsUnchanged);
  cr_assert(Limit.Waiting.empty());
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
