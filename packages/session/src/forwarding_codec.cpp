#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/session/state_transfer.hpp"
#include "redwinggw/session/statement_forwarding.hpp"
#include "redwinggw/wire/signature.hpp"

#include <cereal/archives/binary.hpp>

#include <array>
#include <limits>
#include <sstream>
#include <type_traits>

/// Encoding of the messages between instances over TCP.
namespace redwinggw::session {
namespace {

/// First byte of a message. A message whose encoding changes gets a new number;
/// unknown numbers are refused.
enum class message_form : std::uint8_t {
  Statement = 1,
  /// A transfer_request for the configuration, as older builds send it.
  ConfigurationRequest = 2,
  TransferChunk = 3,
  StateRequest = 4,
};
/// Callers' messages have at most 1 MiB; a longer text is corrupt.
constexpr std::uint64_t LongestText = std::uint64_t{2} << 20U;

/// Variable-length numbers: as most are small, each byte holds seven bits.
constexpr std::uint8_t MoreFollows = 0x80;
constexpr unsigned BitsOfByte = 7;

std::uint64_t readNumber(cereal::BinaryInputArchive &In) {
  std::uint64_t Number = 0;
  for (unsigned Shift = 0; Shift < std::numeric_limits<std::uint64_t>::digits;
       Shift += BitsOfByte) {
    std::uint8_t Byte = 0;
    In(Byte);
    Number |= static_cast<std::uint64_t>(Byte & (MoreFollows - 1)) << Shift;
    if ((Byte & MoreFollows) == 0)
      return Number;
  }
  throw cereal::Exception("a number is too long");
}

/// Writes the fields of a message; reader reads them in the same order.
struct writer {
  cereal::BinaryOutputArchive Archive;

  void number(std::uint64_t Value) {
    for (; Value >= MoreFollows; Value >>= BitsOfByte)
      Archive(static_cast<std::uint8_t>(Value | MoreFollows));
    Archive(static_cast<std::uint8_t>(Value));
  }
  void text(const std::string &Value) {
    number(Value.size());
    Archive(cereal::binary_data(Value.data(), Value.size()));
  }
  template <typename Enum> void choice(Enum Value, Enum /*Last*/) {
    Archive(static_cast<std::uint8_t>(Value));
  }
  void flag(bool Value) { Archive(Value); }
  /// A choice of which a later build may know more values.
  template <typename Enum> void openChoice(Enum Value, Enum /*Last*/) {
    Archive(static_cast<std::uint8_t>(Value));
  }
  /// Fields at the end that an earlier build does not send.
  template <typename Function> void added(Function Transfer) { Transfer(); }
  void time(base::milliseconds Value) {
    number(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value.count())));
  }
  template <typename Value, typename Function>
  void optional(const std::optional<Value> &Given, Function Transfer) {
    Archive(Given.has_value());
    if (Given)
      Transfer(*Given);
  }
  void values(const session_values &Values) {
    number(Values.size());
    for (const auto &[Name, Value] : Values) {
      text(Name);
      text(Value);
    }
  }
  void texts(const std::vector<std::string> &Texts) {
    number(Texts.size());
    for (const std::string &Text : Texts)
      text(Text);
  }
};

struct reader {
  std::istream &Stream;
  cereal::BinaryInputArchive Archive{Stream};

  template <typename Number> void number(Number &Value) {
    Value = static_cast<Number>(readNumber(Archive));
  }
  void text(std::string &Value) {
    const std::uint64_t Length = readNumber(Archive);
    if (Length > LongestText)
      throw cereal::Exception("a text is too long");
    Value.resize(Length);
    Archive(cereal::binary_data(Value.data(), Length));
  }
  template <typename Enum> void choice(Enum &Value, Enum Last) {
    std::uint8_t Number = 0;
    Archive(Number);
    if (Number > static_cast<std::uint8_t>(Last))
      throw cereal::Exception("a choice is unknown");
    Value = static_cast<Enum>(Number);
  }
  void flag(bool &Value) { Archive(Value); }
  template <typename Enum> void openChoice(Enum &Value, Enum Last) {
    std::uint8_t Number = 0;
    Archive(Number);
    Value = Number > static_cast<std::uint8_t>(Last)
                ? Enum()
                : static_cast<Enum>(Number);
  }
  template <typename Function> void added(Function Transfer) {
    if (Stream.peek() != std::istream::traits_type::eof())
      Transfer();
  }
  void time(base::milliseconds &Value) {
    constexpr std::uint64_t Longest = 3'600'000;
    const std::uint64_t Count = std::min(readNumber(Archive), Longest);
    Value = base::milliseconds(static_cast<std::int64_t>(Count));
  }
  template <typename Value, typename Function>
  void optional(std::optional<Value> &Given, Function Transfer) {
    bool Has = false;
    Archive(Has);
    if (Has)
      Transfer(Given.emplace());
  }
  void values(session_values &Values) {
    const std::uint64_t Count = readNumber(Archive);
    for (std::uint64_t Index = 0; Index < Count; ++Index) {
      std::string Name;
      text(Name);
      text(Values[Name]);
    }
  }
  void texts(std::vector<std::string> &Texts) {
    const std::uint64_t Count = readNumber(Archive);
    for (std::uint64_t Index = 0; Index < Count; ++Index)
      text(Texts.emplace_back());
  }
};

template <typename Side, typename Point>
void transferPoint(Side &Ar, Point &Value) {
  Ar.number(Value.Term);
  Ar.number(Value.Position);
}

template <typename Side, typename Statement>
void transferStatement(Side &Ar, Statement &Value) {
  Ar.choice(Value.Action, link_action::Rollback);
  Ar.text(Value.Id);
  Ar.text(Value.Text);
  Ar.optional(Value.Values, [&](auto &Values) { Ar.values(Values); });
  Ar.text(Value.Prepared);
  Ar.text(Value.Arguments);
  Ar.optional(Value.After, [&](auto &Point) { transferPoint(Ar, Point); });
  Ar.optional(Value.PrimaryLease, [&](auto &PrimaryLease) {
    Ar.text(PrimaryLease.Service);
    Ar.text(PrimaryLease.Endpoint);
    Ar.number(PrimaryLease.Epoch);
  });
}

template <typename Side, typename Answer>
void transferAnswer(Side &Ar, Answer &Value) {
  Ar.optional(Value.Error, [&](auto &Error) {
    Ar.choice(Error.Code, answer_code::TooLarge);
    Ar.text(Error.Reason);
  });
  Ar.texts(Value.Rows);
  Ar.text(Value.Signature);
  Ar.choice(Value.State, transaction_state::Failed);
  Ar.optional(Value.Point, [&](auto &Point) { transferPoint(Ar, Point); });
}

template <typename Side, typename Request>
void transferMessage(Side &Ar, Request &Value)
  requires std::is_same_v<std::remove_const_t<Request>, forwarding_request>
{
  Ar.text(Value.Endpoint);
  Ar.text(Value.Customer);
  transferStatement(Ar, Value.Statement);
  Ar.number(Value.Priority);
  Ar.time(Value.TimeLeft);
  Ar.time(Value.SlotWait);
}

template <typename Side, typename Reply>
void transferMessage(Side &Ar, Reply &Value)
  requires std::is_same_v<std::remove_const_t<Reply>, forwarding_reply>
{
  Ar.choice(Value.Failure, forwarding_failure::EndpointLost);
  Ar.choice(Value.Exchange.Outcome, exchange_outcome::TimedOut);
  transferAnswer(Ar, Value.Exchange.Answer);
  Ar.time(Value.Ran);
  Ar.number(Value.Load);
  Ar.added([&] {
    Ar.openChoice(Value.Lack, owner_lack::ColdToken);
    Ar.time(Value.RetryAfter);
  });
}

template <typename Side, typename Request>
void transferMessage(Side &Ar, Request &Value)
  requires std::is_same_v<std::remove_const_t<Request>, transfer_request>
{
  Ar.number(Value.Version);
}

/// The present form of a transfer_request: builds that know no other state than
/// the configuration must not answer it.
struct state_request {
  transfer_request Request;
};

template <typename Side, typename Request>
void transferMessage(Side &Ar, Request &Value)
  requires std::is_same_v<std::remove_const_t<Request>, state_request>
{
  Ar.number(Value.Request.Version);
  Ar.choice(Value.Request.Kind, state_kind::Instances);
}

template <typename Side, typename Chunk>
void transferMessage(Side &Ar, Chunk &Value)
  requires std::is_same_v<std::remove_const_t<Chunk>, transfer_chunk>
{
  Ar.number(Value.Version);
  Ar.text(Value.Text);
  Ar.flag(Value.Last);
  Ar.added([&] { Ar.flag(Value.Delta); });
}

/// Statement is the form of requests to run a statement and of their replies.
template <typename Message>
constexpr message_form FormOf = message_form::Statement;
template <>
constexpr message_form FormOf<transfer_request> =
    message_form::ConfigurationRequest;
template <>
constexpr message_form FormOf<state_request> = message_form::StateRequest;
template <>
constexpr message_form FormOf<transfer_chunk> = message_form::TransferChunk;

template <typename Message>
std::string encode(std::string_view Secret, const Message &Value) {
  std::ostringstream Stream;
  writer Writer{cereal::BinaryOutputArchive(Stream)};
  Writer.Archive(static_cast<std::uint8_t>(FormOf<Message>));
  transferMessage(Writer, Value);
  return wire::sign(Secret, std::move(Stream).str());
}

template <typename Message>
std::optional<Message> decode(std::string_view Secret, std::string_view Bytes) {
  const auto Payload = wire::verify(Secret, Bytes);
  if (!Payload)
    return std::nullopt;
  try {
    std::istringstream Stream{std::string(*Payload)};
    reader Reader{Stream};
    std::uint8_t Form = 0;
    Reader.Archive(Form);
    if (Form != static_cast<std::uint8_t>(FormOf<Message>))
      return std::nullopt;
    Message Value;
    transferMessage(Reader, Value);
    return Value;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

constexpr std::array FailureNames =
    std::to_array<base::enum_name<forwarding_failure>>({
        {forwarding_failure::None, "none"},
        {forwarding_failure::OwnerLost, "owner_lost"},
        {forwarding_failure::NoConnection, "no_connection"},
        {forwarding_failure::Refused, "refused"},
        {forwarding_failure::EndpointLost, "endpoint_lost"},
    });

constexpr std::array LackNames = std::to_array<base::enum_name<owner_lack>>({
    {owner_lack::None, "none"},
    {owner_lack::Slot, "no_slot"},
    {owner_lack::Connection, "no_connection"},
    {owner_lack::Acceptance, "endpoint_refused"},
    {owner_lack::Endpoint, "endpoint_lost"},
    {owner_lack::ColdToken, "endpoint_cold"},
});

} // namespace

std::string encodeRequest(std::string_view Secret,
                          const forwarding_request &Value) {
  return encode(Secret, Value);
}

std::string encodeReply(std::string_view Secret,
                        const forwarding_reply &Value) {
  return encode(Secret, Value);
}

std::optional<forwarding_request> decodeRequest(std::string_view Secret,
                                                std::string_view Bytes) {
  return decode<forwarding_request>(Secret, Bytes);
}

std::optional<forwarding_reply> decodeReply(std::string_view Secret,
                                            std::string_view Bytes) {
  return decode<forwarding_reply>(Secret, Bytes);
}

std::string encodeTransferRequest(std::string_view Secret,
                                  const transfer_request &Value) {
  return encode(Secret, state_request{Value});
}

std::string encodeTransferChunk(std::string_view Secret,
                                const transfer_chunk &Value) {
  return encode(Secret, Value);
}

std::optional<transfer_request> decodeTransferRequest(std::string_view Secret,
                                                      std::string_view Bytes) {
  if (const auto Present = decode<state_request>(Secret, Bytes))
    return Present->Request;
  auto Older = decode<transfer_request>(Secret, Bytes);
  if (Older)
    Older->ReadsDelta = false;
  return Older;
}

std::optional<transfer_chunk> decodeTransferChunk(std::string_view Secret,
                                                  std::string_view Bytes) {
  return decode<transfer_chunk>(Secret, Bytes);
}

std::string_view forwardingFailureName(forwarding_failure Failure) {
  return base::nameOf(FailureNames, Failure);
}

std::string_view ownerLackName(owner_lack Lack) {
  return base::nameOf(LackNames, Lack);
}

} // namespace redwinggw::session
