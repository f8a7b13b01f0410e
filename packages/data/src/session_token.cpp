#include "redwinggw/data/session_token.hpp"

#include "redwinggw/base/digest.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <sstream>

namespace redwinggw::data {

template <typename Archive>
void serialize(Archive &Stream, group_position &Position) {
  Stream(Position.Group, Position.Term, Position.Position);
}

namespace {

/// Length of the truncated signature: 128 bits.
constexpr std::size_t SignatureBytes = 16;

std::string signatureOf(std::string_view FleetKey, std::string_view Customer,
                        std::string_view Payload) {
  std::string Signed = "session\n";
  Signed.append(Customer).append("\n").append(Payload);
  return base::hmacSha256(FleetKey, Signed).substr(0, SignatureBytes);
}

std::optional<std::string> fromHex(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  for (std::size_t Index = 0; Index < Text.size(); Index += 2) {
    const std::size_t High = Digits.find(Text[Index]);
    const std::size_t Low = Digits.find(Text[Index + 1]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return std::nullopt;
    Bytes.push_back(static_cast<char>(High * Digits.size() + Low));
  }
  return Bytes;
}

} // namespace

std::string encodeToken(std::string_view FleetKey, std::string_view Customer,
                        const session_state &Session) {
  std::ostringstream Stream;
  {
    cereal::BinaryOutputArchive Archive(Stream);
    Archive(Session.Positions);
  }
  const std::string Payload = Stream.str();
  return base::toHex(signatureOf(FleetKey, Customer, Payload) + Payload);
}

std::optional<session_state> decodeToken(std::string_view FleetKey,
                                         std::string_view Customer,
                                         std::string_view Token) {
  const std::optional<std::string> Bytes = fromHex(Token);
  if (!Bytes || Bytes->size() < SignatureBytes)
    return std::nullopt;
  const std::string Payload = Bytes->substr(SignatureBytes);
  const std::string Expected = signatureOf(FleetKey, Customer, Payload);
  if (!base::equalInConstantTime(Expected, Bytes->substr(0, SignatureBytes)))
    return std::nullopt;
  std::istringstream Stream(Payload);
  session_state Session;
  try {
    cereal::BinaryInputArchive Archive(Stream);
    Archive(Session.Positions);
  } catch (const std::exception &) {
    // Signed by this fleet, but encoded by another release.
    return std::nullopt;
  }
  return Session;
}

const group_position *findPosition(const session_state &Session,
                                   std::string_view Group) {
  const auto Found =
      std::ranges::find(Session.Positions, Group, &group_position::Group);
  return Found == Session.Positions.end() ? nullptr : &*Found;
}

bool isOnBranch(const std::vector<history_row> &History,
                const group_position &Position) {
  const auto Row =
      std::ranges::find(History, Position.Term, &history_row::Term);
  if (Row == History.end())
    return false;
  const auto Next = std::next(Row);
  return Next == History.end() || Position.Position <= Next->Start;
}

bool covers(const std::vector<history_row> &History, base::log_position Applied,
            const group_position &Position) {
  return isOnBranch(History, Position) && Applied >= Position.Position;
}

void advance(session_state &Session, const std::vector<history_row> &History,
             const group_position &Seen) {
  const auto Place = std::ranges::lower_bound(Session.Positions, Seen.Group, {},
                                              &group_position::Group);
  if (Place == Session.Positions.end() || Place->Group != Seen.Group) {
    Session.Positions.insert(Place, Seen);
    return;
  }
  const bool Behind = Place->Position <= Seen.Position;
  if (Behind || !isOnBranch(History, *Place))
    *Place = Seen;
}

} // namespace redwinggw::data
