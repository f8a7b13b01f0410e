#include "redwinggw/wire/message.hpp"
#include "redwinggw/wire/replay_window.hpp"
#include "redwinggw/wire/signature.hpp"

#include <algorithm>
#include <ranges>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::wire;

namespace {

const std::string Key = "fleet";

datagram heartbeat() {
  datagram Datagram;
  Datagram.Sender = "a";
  Datagram.Receiver = "b";
  Datagram.Incarnation = 7;
  Datagram.Sequence = 42;
  Datagram.Clock = {1000, 3};
  peer_report Report;
  Report.Zone = "z1";
  Report.Version = 12;
  Report.HeadVersion = 13;
  Report.Leaving = true;
  Report.Groups.push_back({"orders", 4, "orders-1", true});
  Report.NewestRow = 9;
  Report.EvacuationVersion = 31;
  Report.EvacuatedZones = {"z1", "z3"};
  Report.Digest.Scope = digest_scope::Fleet;
  relayed_member Member{17, 5, 3, 0};
  setFact(Member, relayed_fact::KnowsVersion, true);
  setFact(Member, relayed_fact::ReadStoreSinceStart, false);
  Report.Digest.Members = {Member, {18, MaxAgeSteps, MaxAgeSteps, 0}};
  Report.Digest.Demands = {3, 1, {{7, 2.5F}}, {{8, 1.5F, 0.25F, 0.125F}}, {}};
  Report.Digest.Suspicions = {{"orders", "orders-1", 2}};
  Datagram.Body = Report;
  return Datagram;
}

} // namespace

Test(message, a_heartbeat_comes_back_as_it_was_sent) {
  const auto Read = decode(Key, encode(Key, heartbeat()));
  cr_assert(Read.has_value());
  cr_assert(Read->Sender == "a" && Read->Receiver == "b");
  cr_assert(Read->Incarnation == 7 && Read->Sequence == 42);
  cr_assert(Read->Clock == clock_value({1000, 3}));
  const auto &Report = std::get<peer_report>(Read->Body);
  const auto Sent = std::get<peer_report>(heartbeat().Body);
  cr_assert(Report.Version == 12 && Report.HeadVersion == 13);
  cr_assert(Report.StoreReadAge == NoAge && Report.Leaving);
  cr_assert(Report.Groups == Sent.Groups && Report.NewestRow == 9);
  cr_assert(Report.Digest == Sent.Digest);
  cr_assert(Report.EvacuationVersion == 31);
  cr_assert(Report.EvacuatedZones == Sent.EvacuatedZones);
  const relayed_member &Member = Report.Digest.Members.front();
  cr_assert(hasFact(Member, relayed_fact::KnowsVersion));
  cr_assert(!hasFact(Member, relayed_fact::ReadStoreSinceStart));
}

// Guards against builds that drop or misread the heartbeats of another build:
// the older one does not read the fields at the end, and sends none.
Test(message, the_changes_of_a_heartbeat_come_after_what_older_builds_read) {
  datagram Sent = heartbeat();
  const std::string Old(verify(Key, encode(Key, Sent)).value_or(""));
  auto &Report = std::get<peer_report>(Sent.Body);
  Report.ReadsChanges = true;
  Report.List = 77;
  Report.DemandRange = {3, 4};
  Report.HeldDemands = 8;
  Report.HeldScope = digest_scope::Zone;
  Report.HeldSums = 9;
  Report.Groups.front().LogTerm = 5;
  Report.Digest.Demands.Range = {5, 6};
  Report.Digest.Packed = {77, 2, {{0, 1, 2, 3}, {0, 4, 5, 3}, {0, 6, 7, 8}}};
  const std::string Bytes = encode(Key, Sent);
  cr_assert(verify(Key, Bytes).value_or("").starts_with(Old));
  const auto Read = decode(Key, Bytes);
  cr_assert(Read.has_value());
  const auto &Back = std::get<peer_report>(Read->Body);
  cr_assert(Back.ReadsChanges && Back.List == 77 && Back.HeldDemands == 8);
  cr_assert(Back.HeldScope == digest_scope::Zone && Back.HeldSums == 9);
  cr_assert(Back.DemandRange == Report.DemandRange);
  cr_assert(Back.Digest == Report.Digest && Back.Groups == Report.Groups);
}

// Guards against fleets without relays, whose heartbeats have no changes, in
// which an orderer would not hear of the newest agreed term.
Test(message, terms_are_sent_in_heartbeats_without_changes) {
  datagram Sent = heartbeat();
  auto &Report = std::get<peer_report>(Sent.Body);
  Report.Groups.front().LogTerm = 5;
  Report.Groups.push_back({"returns", 7, "returns-2"});
  cr_assert(!Report.ReadsChanges);
  const auto Read = decode(Key, encode(Key, Sent));
  cr_assert(Read.has_value());
  cr_assert(std::get<peer_report>(Read->Body).Groups == Report.Groups);
}

Test(message, a_share_message_comes_back_as_it_was_sent) {
  datagram Datagram = heartbeat();
  share_message Message{share_kind::Grant, 3, 7, 99, "c", {}, false};
  Message.Entries.push_back({"sweets", 2.5F, 10, 20});
  Datagram.Body = Message;
  const auto Read = decode(Key, encode(Key, Datagram));
  cr_assert(Read.has_value());
  const auto &Back = std::get<share_message>(Read->Body);
  cr_assert(Back.Kind == share_kind::Grant && Back.Number == 99 &&
            Back.Allocator == "c");
  cr_assert(Back.Entries.size() == 1 && Back.Entries[0].Customer == "sweets");
  cr_assert(Back.Entries[0].Tokens == 2.5F && Back.Entries[0].TtlUs == 20);
}

// Guards against requests for tokens that are misread in the short form, or
// that an older build, which knows one format only, takes for something else.
Test(message, the_short_form_of_a_share_message_comes_back) {
  datagram Datagram = heartbeat();
  Datagram.Sequence = 70'000;
  share_message Message{share_kind::Take, 0, 0, 300, "", {}, true};
  Message.Entries.push_back({"sweets", 1, 5000, 0, 2});
  cr_assert(fitsShortForm(Message));
  Datagram.Body = Message;
  const std::string Long = encode(Key, Datagram);
  Datagram.Hashes = name_hashes{};
  const std::string Short = encode(Key, Datagram);
  cr_assert(Short.size() < Long.size());
  cr_assert(verify(Key, Short).value_or(" ")[0] !=
            verify(Key, Long).value_or(" ")[0]);
  const auto Read = decode(Key, Short);
  cr_assert(Read && Read->Hashes && Read->Sender.empty());
  cr_assert(Read->Hashes->Sender == hashOf("a") &&
            Read->Hashes->Receiver == hashOf("b"));
  cr_assert(Read->Incarnation == 7 && Read->Sequence == 70'000);
  cr_assert(Read->Clock == Datagram.Clock);
  const auto &Back = std::get<share_message>(Read->Body);
  cr_assert(Back.Kind == share_kind::Take && Back.Number == 300);
  const share_entry &Entry = Back.Entries.at(0);
  cr_assert(Entry.Customer == "sweets" && Entry.Tokens == 1);
  cr_assert(Entry.WaitUs == 5000 && Entry.Priority == 2);
  cr_assert(std::get<share_message>(decode(Key, Long)->Body).ReadsShortForm);
  const std::string Payload(verify(Key, Short).value_or(""));
  for (std::size_t Size = 0; Size < Payload.size(); ++Size)
    cr_assert(!decode(Key, sign(Key, Payload.substr(0, Size))));
  Message.Incarnation = 1;
  cr_assert(!fitsShortForm(Message));
}

// A datagram is truncated, modified in transit, or sent by somebody without the
// fleet's key. An instance that accepted it would act on a false heartbeat or a
// false grant.
Test(message, truncated_modified_and_unsigned_datagrams_are_dropped) {
  const std::string Bytes = encode(Key, heartbeat());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    cr_assert(!decode(Key, std::string_view(Bytes).substr(0, Size)));
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
    std::string Changed = Bytes;
    Changed[Index] = static_cast<char>(Changed[Index] ^ 1);
    cr_assert(!decode(Key, Changed));
  }
  cr_assert(!decode("another key", Bytes));
}

// An instance of a faulty release signs a truncated message with the right key:
// decoding must refuse it rather than fail.
Test(message, a_signed_payload_that_ends_early_is_dropped) {
  const std::string Bytes = encode(Key, heartbeat());
  const std::string Payload(verify(Key, Bytes).value_or(""));
  for (std::size_t Size = 0; Size < Payload.size(); ++Size)
    cr_assert(!decode(Key, sign(Key, Payload.substr(0, Size))));
}

// The network delays, reorders and duplicates datagrams, and an instance
// restarts under the same name.
Test(replay_window, each_datagram_has_its_effect_once) {
  struct step {
    std::uint64_t Incarnation;
    std::uint64_t Sequence;
    datagram_order Expected;
  };
  const std::vector<step> Steps{
      {5, 1, datagram_order::Newest},
      {5, 1, datagram_order::Duplicate},
      {5, 4, datagram_order::Newest},
      {5, 2, datagram_order::Reordered},
      {5, 2, datagram_order::Duplicate},
      {5, 4, datagram_order::Duplicate},
      {5, 200, datagram_order::Newest},
      {5, 3, datagram_order::Duplicate},
      {5, 150, datagram_order::Reordered},
      {5, 137, datagram_order::Reordered},
      {5, 136, datagram_order::Duplicate},
      {6, 1, datagram_order::Newest},
      {5, 201, datagram_order::FormerIncarnation},
      {6, 1, datagram_order::Duplicate},
  };
  replay_window Window;
  cr_assert(std::ranges::all_of(Steps, [&](const step &Step) {
    return recordDatagram(Window, Step.Incarnation, Step.Sequence) ==
           Step.Expected;
  }));
}
