#include "redwinggw/wire/message.hpp"

#include "redwinggw/wire/signature.hpp"

#include <cereal/archives/binary.hpp>

#include <algorithm>
#include <limits>
#include <sstream>

namespace redwinggw::wire {
namespace {

/// Incremented when the datagram format changes; datagrams of other versions
/// are dropped.
constexpr std::uint8_t FormatVersion = 7;
/// The short form of share messages.
constexpr std::uint8_t ShortFormat = 8;

/// Strings and lists are preceded by a length of 1 or 2 bytes. The length that
/// cereal writes takes 8, which would be most of a small heartbeat.
template <typename Archive>
void archiveText(Archive &Out, const std::string &Text) {
  const auto Length = static_cast<std::uint8_t>(std::min<std::size_t>(
      Text.size(), std::numeric_limits<std::uint8_t>::max()));
  Out(Length);
  Out(cereal::binary_data(Text.data(), Length));
}

template <typename Archive> void archiveText(Archive &In, std::string &Text) {
  std::uint8_t Length = 0;
  In(Length);
  Text.resize(Length);
  In(cereal::binary_data(Text.data(), Length));
}

template <typename Archive, typename Item, typename Function>
void archiveList(Archive &Out, const std::vector<Item> &Items,
                 Function ArchiveItem) {
  const auto Length = static_cast<std::uint16_t>(Items.size());
  Out(Length);
  for (const Item &Each : Items)
    ArchiveItem(Each);
}

template <typename Archive, typename Item, typename Function>
void archiveList(Archive &In, std::vector<Item> &Items, Function ArchiveItem) {
  std::uint16_t Length = 0;
  In(Length);
  for (std::uint16_t Index = 0; Index < Length; ++Index)
    ArchiveItem(Items.emplace_back());
}

template <typename Archive, typename Group>
void archiveGroup(Archive &Ar, Group &Report) {
  archiveText(Ar, Report.Group);
  Ar(Report.Term);
  archiveText(Ar, Report.Primary);
  Ar(Report.Suspect, Report.Moving);
  archiveText(Ar, Report.Orderer);
}

constexpr std::size_t MaxSharedRead = 65'000;

template <typename Archive, typename Digest>
void archiveDemands(Archive &Ar, Digest &Value) {
  Ar(Value.Contributors, Value.NeverSeen);
  archiveList(Ar, Value.Sums,
              [&](auto &Item) { Ar(Item.Customer, Item.Rate); });
  archiveList(Ar, Value.Silent, [&](auto &Item) {
    Ar(Item.Customer, Item.Rate, Item.Reserved, Item.LongSilent);
  });
}

template <typename Archive, typename Digest>
void archiveDigest(Archive &Ar, Digest &Value) {
  Ar(Value.Scope);
  if (Value.Scope == digest_scope::None)
    return;
  archiveList(Ar, Value.Members, [&](auto &Item) {
    Ar(Item.Instance, Item.Age, Item.Silence, Item.Facts);
  });
  archiveDemands(Ar, Value.Demands);
  archiveList(Ar, Value.Suspicions, [&](auto &Item) {
    archiveText(Ar, Item.Group);
    archiveText(Ar, Item.Primary);
    Ar(Item.Count);
  });
}

template <typename Archive, typename Report>
void archiveReport(Archive &Ar, Report &Value) {
  archiveText(Ar, Value.Zone);
  Ar(Value.Version, Value.StoreReadAge, Value.HeadVersion, Value.HeadReadAge,
     Value.OwnContactAge, Value.PeerContactAge, Value.EchoIncarnation,
     Value.EchoSequence, Value.Leaving, Value.WantsReply, Value.Reports,
     Value.WantsSharedReads, Value.CentralizesBuckets);
  archiveList(Ar, Value.Groups, [&](auto &Item) { archiveGroup(Ar, Item); });
  archiveDigest(Ar, Value.Digest);
  Ar(Value.ConfigurationRow, Value.NewestRow, Value.EvacuationVersion);
  archiveList(Ar, Value.EvacuatedZones,
              [&](auto &Zone) { archiveText(Ar, Zone); });
  archiveList(Ar, Value.Demands,
              [&](auto &Item) { Ar(Item.Customer, Item.Rate, Item.Spare); });
  archiveList(Ar, Value.Positions, [&](auto &Item) {
    Ar(Item.Group, Item.Term, Item.Position, Item.Age);
  });
}

/// Most instances of a zone have the same facts, so these are sent as runs: how
/// many entries, and their facts.
struct fact_run {
  std::uint16_t Count = 0;
  std::uint8_t Facts = 0;
};

std::vector<fact_run> runsOf(const std::vector<relayed_member> &Entries) {
  std::vector<fact_run> Runs;
  for (const relayed_member &Entry : Entries) {
    if (Runs.empty() || Runs.back().Facts != Entry.Facts)
      Runs.push_back({0, Entry.Facts});
    ++Runs.back().Count;
  }
  return Runs;
}

/// Sets the facts of \p Entries. Runs of another length mean a corrupt
/// datagram.
void applyRuns(const std::vector<fact_run> &Runs,
               std::vector<relayed_member> &Entries) {
  auto Next = Entries.begin();
  for (const fact_run &Run : Runs) {
    if (Run.Count > Entries.end() - Next)
      throw cereal::Exception("too many facts");
    for (std::uint16_t Index = 0; Index < Run.Count; ++Index, ++Next)
      Next->Facts = Run.Facts;
  }
  if (Next != Entries.end())
    throw cereal::Exception("too few facts");
}

template <typename Archive>
void archiveRuns(Archive &Out, const std::vector<relayed_member> &Entries) {
  const std::vector<fact_run> Runs = runsOf(Entries);
  archiveList(Out, Runs, [&](const auto &Run) { Out(Run.Count, Run.Facts); });
}

template <typename Archive>
void archiveRuns(Archive &In, std::vector<relayed_member> &Entries) {
  std::vector<fact_run> Runs;
  archiveList(In, Runs, [&](auto &Run) { In(Run.Count, Run.Facts); });
  applyRuns(Runs, Entries);
}

template <typename Archive, typename Packed>
void archivePacked(Archive &Ar, Packed &Value) {
  Ar(Value.List);
  if (Value.List == 0)
    return;
  Ar(Value.First);
  archiveList(Ar, Value.Entries,
              [&](auto &Item) { Ar(Item.Age, Item.Silence); });
  archiveRuns(Ar, Value.Entries);
}

template <typename Archive, typename Range>
void archiveRange(Archive &Ar, Range &Value) {
  Ar(Value.Base, Value.Version);
}

/// The fields that older builds do not know.
template <typename Archive, typename Report>
void archiveChanges(Archive &Ar, Report &Value) {
  Ar(Value.List, Value.HeldDemands, Value.HeldScope, Value.HeldSums);
  archiveRange(Ar, Value.DemandRange);
  archiveRange(Ar, Value.Digest.Demands.Range);
  archivePacked(Ar, Value.Digest.Packed);
}

template <typename Archive, typename Report>
void archiveNeeds(Archive &Ar, Report &Value) {
  Ar(Value.Capacity);
  archiveList(Ar, Value.Services, [&](auto &Service) { Ar(Service); });
}

bool reportsTerms(const peer_report &Report) {
  return std::ranges::any_of(Report.Groups, [](const group_report &Group) {
    return Group.LogTerm != 0;
  });
}

/// The terms of the logs of \p Groups, in their order.
template <typename Archive, typename Groups>
void archiveTerms(Archive &Ar, Groups &Reports) {
  for (auto &Report : Reports)
    Ar(Report.LogTerm);
}

template <typename Archive>
void archiveSharedRead(Archive &Out, const shared_store_read &Value) {
  const auto Length = static_cast<std::uint32_t>(Value.Text.size());
  Out(Value.Kind, Value.Relayed, Value.Version, Value.Part, Value.Parts,
      Length);
  Out(cereal::binary_data(Value.Text.data(), Length));
}

template <typename Archive>
void archiveSharedRead(Archive &In, shared_store_read &Value) {
  std::uint32_t Length = 0;
  In(Value.Kind, Value.Relayed, Value.Version, Value.Part, Value.Parts, Length);
  // A length beyond what a datagram can hold means a corrupt datagram.
  if (Length > MaxSharedRead)
    throw cereal::Exception("shared store read is too long");
  Value.Text.resize(Length);
  In(cereal::binary_data(Value.Text.data(), Length));
}

template <typename Archive, typename Message>
void archiveShareMessage(Archive &Ar, Message &Value) {
  Ar(Value.Kind, Value.Partition, Value.Incarnation, Value.Number);
  archiveText(Ar, Value.Allocator);
  archiveList(Ar, Value.Entries, [&](auto &Item) {
    archiveText(Ar, Item.Customer);
    Ar(Item.Tokens, Item.WaitUs, Item.TtlUs, Item.Priority);
  });
}

template <typename Archive, typename Datagram>
void archiveDatagram(Archive &Ar, Datagram &Value) {
  archiveText(Ar, Value.Sender);
  archiveText(Ar, Value.Receiver);
  Ar(Value.Incarnation, Value.Sequence, Value.Clock.Wall, Value.Clock.Count);
  if (auto *Report = std::get_if<peer_report>(&Value.Body))
    archiveReport(Ar, *Report);
  else if (auto *Read = std::get_if<shared_store_read>(&Value.Body))
    archiveSharedRead(Ar, *Read);
  else
    archiveShareMessage(Ar, std::get<share_message>(Value.Body));
}

/// Seven bits a byte, the lowest first; the highest bit of a byte tells that
/// more follow.
constexpr unsigned NumberBits = 7;
constexpr std::uint8_t MoreFollow = 1U << NumberBits;

template <typename Archive>
void archiveNumber(Archive &Out, const std::uint64_t &Number) {
  std::uint64_t Rest = Number;
  for (; Rest >= MoreFollow; Rest >>= NumberBits)
    Out(static_cast<std::uint8_t>(Rest | MoreFollow));
  Out(static_cast<std::uint8_t>(Rest));
}

template <typename Archive>
void archiveNumber(Archive &In, std::uint64_t &Number) {
  constexpr unsigned Bits = 64;
  std::uint8_t Byte = MoreFollow;
  Number = 0;
  for (unsigned Shift = 0; (Byte & MoreFollow) != 0; Shift += NumberBits) {
    if (Shift >= Bits)
      throw cereal::Exception("a number is too long");
    In(Byte);
    Number |= static_cast<std::uint64_t>(Byte & ~MoreFollow) << Shift;
  }
}

/// Bits of the byte that says which optional fields follow.
constexpr std::uint8_t HasClock = 1;
constexpr std::uint8_t HasEntry = 2;

template <typename Archive, typename Entry>
void archiveShortEntry(Archive &Ar, Entry &Value) {
  archiveText(Ar, Value.Customer);
  Ar(Value.Tokens, Value.WaitUs, Value.Priority);
}

void writeShort(cereal::BinaryOutputArchive &Out, const datagram &Datagram) {
  const auto &Message = std::get<share_message>(Datagram.Body);
  const bool Clock = Datagram.Clock != clock_value{};
  const bool Entry = !Message.Entries.empty();
  Out(ShortFormat, Message.Kind,
      static_cast<std::uint8_t>((Clock ? HasClock : 0) |
                                (Entry ? HasEntry : 0)),
      hashOf(Datagram.Sender), hashOf(Datagram.Receiver), Datagram.Incarnation);
  archiveNumber(Out, Datagram.Sequence);
  archiveNumber(Out, Message.Number);
  if (Clock)
    Out(Datagram.Clock.Wall, Datagram.Clock.Count);
  if (Entry)
    archiveShortEntry(Out, Message.Entries.front());
}

/// Reads what follows the format.
datagram readShort(cereal::BinaryInputArchive &In) {
  datagram Datagram;
  share_message Message;
  Message.ReadsShortForm = true;
  name_hashes Hashes;
  std::uint8_t Fields = 0;
  In(Message.Kind, Fields, Hashes.Sender, Hashes.Receiver,
     Datagram.Incarnation);
  archiveNumber(In, Datagram.Sequence);
  archiveNumber(In, Message.Number);
  if ((Fields & HasClock) != 0)
    In(Datagram.Clock.Wall, Datagram.Clock.Count);
  if ((Fields & HasEntry) != 0)
    archiveShortEntry(In, Message.Entries.emplace_back());
  Datagram.Hashes = Hashes;
  Datagram.Body = std::move(Message);
  return Datagram;
}

datagram readPayload(std::string_view Payload) {
  std::istringstream Stream{std::string(Payload)};
  cereal::BinaryInputArchive In(Stream);
  std::uint8_t Format = 0;
  std::uint8_t Kind = 0;
  In(Format);
  if (Format == ShortFormat)
    return readShort(In);
  if (Format != FormatVersion)
    throw cereal::Exception("unknown format version");
  In(Kind);
  datagram Datagram;
  // Indices of the body's types in the variant.
  constexpr std::uint8_t ShareKind = 1;
  constexpr std::uint8_t SharedReadKind = 2;
  if (Kind == ShareKind)
    Datagram.Body = share_message{};
  if (Kind == SharedReadKind)
    Datagram.Body = shared_store_read{};
  archiveDatagram(In, Datagram);
  auto *Report = std::get_if<peer_report>(&Datagram.Body);
  const bool HasMore = Stream.peek() != std::istringstream::traits_type::eof();
  if (Report != nullptr && HasMore) {
    archiveChanges(In, *Report);
    Report->ReadsChanges = true;
    if (Stream.peek() != std::istringstream::traits_type::eof())
      archiveNeeds(In, *Report);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      archiveTerms(In, Report->Groups);
  }
  if (auto *Message = std::get_if<share_message>(&Datagram.Body))
    Message->ReadsShortForm = HasMore;
  return Datagram;
}

} // namespace

std::uint32_t hashOf(std::string_view Name) {
  // FNV-1a: std::hash may differ between builds.
  constexpr std::uint32_t Basis = 2166136261U;
  constexpr std::uint32_t Prime = 16777619U;
  std::uint32_t Hash = Basis;
  std::ranges::for_each(Name, [&](char Byte) {
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * Prime;
  });
  return Hash;
}

bool fitsShortForm(const share_message &Message) {
  return Message.Partition == 0 && Message.Incarnation == 0 &&
         Message.Allocator.empty() && Message.Entries.size() <= 1 &&
         (Message.Entries.empty() || Message.Entries.front().TtlUs == 0);
}

std::string encode(std::string_view FleetKey, const datagram &Datagram) {
  std::ostringstream Stream;
  cereal::BinaryOutputArchive Out(Stream);
  if (Datagram.Hashes) {
    writeShort(Out, Datagram);
    return sign(FleetKey, std::move(Stream).str());
  }
  const auto Kind = static_cast<std::uint8_t>(Datagram.Body.index());
  Out(FormatVersion, Kind);
  archiveDatagram(Out, Datagram);
  if (const auto *Report = std::get_if<peer_report>(&Datagram.Body)) {
    const bool Terms = reportsTerms(*Report);
    if (Report->ReadsChanges || Terms) {
      archiveChanges(Out, *Report);
      archiveNeeds(Out, *Report);
    }
    if (Terms)
      archiveTerms(Out, Report->Groups);
  }
  if (const auto *Message = std::get_if<share_message>(&Datagram.Body);
      Message != nullptr && Message->ReadsShortForm)
    Out(ShortFormat);
  return sign(FleetKey, std::move(Stream).str());
}

std::optional<datagram> decode(std::string_view FleetKey,
                               std::string_view Bytes) {
  const auto Payload = verify(FleetKey, Bytes);
  if (!Payload)
    return std::nullopt;
  try {
    return readPayload(*Payload);
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

} // namespace redwinggw::wire
