#include "redwinggw/session/text_delta.hpp"

#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace redwinggw::session {
namespace {

/// Ends a record of the texts, which are JSON.
constexpr char RecordEnd = '}';
/// \name Steps of a delta
/// Each is a letter, its numbers, and a line feed. Copy has an offset in the
/// former text and a length, Insert a length, after which that many bytes
/// follow, and Check, which comes first, the length and the hash of the result.
/// @{
constexpr char Check = '=';
constexpr char Copy = 'c';
constexpr char Insert = 'i';
constexpr char StepEnd = '\n';
/// @}

std::vector<std::string_view> recordsOf(std::string_view Text) {
  std::vector<std::string_view> Records;
  while (!Text.empty()) {
    const std::size_t End = Text.find(RecordEnd);
    const std::size_t Length =
        End == std::string_view::npos ? Text.size() : End + 1;
    Records.push_back(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
  return Records;
}

void addStep(std::string &Delta, char Step, std::size_t First,
             std::optional<std::size_t> Second = std::nullopt) {
  Delta += Step + std::to_string(First);
  if (Second)
    Delta += " " + std::to_string(*Second);
  Delta += StepEnd;
}

/// Consecutive bytes of one of the texts.
struct span {
  std::size_t Begin = 0;
  std::size_t Length = 0;
};

/// Collects what comes next and writes it once it ends.
struct delta_writer {
  std::string_view From;
  std::string Delta;
  span Copied;
  std::string Inserted;

  void flush() {
    if (Copied.Length != 0)
      addStep(Delta, Copy, Copied.Begin, Copied.Length);
    if (!Inserted.empty()) {
      addStep(Delta, Insert, Inserted.size());
      Delta += Inserted;
    }
    Copied = {};
    Inserted.clear();
  }
  void copy(std::size_t Begin, std::size_t Length) {
    const bool Continues = Copied.Length != 0 && Inserted.empty() &&
                           Copied.Begin + Copied.Length == Begin;
    if (!Continues) {
      flush();
      Copied.Begin = Begin;
    }
    Copied.Length += Length;
  }
  void insert(std::string_view Text) { Inserted += Text; }
  /// Whether \p Record follows what was copied last.
  bool isNext(std::string_view Record) const {
    return Copied.Length != 0 && Inserted.empty() &&
           From.substr(Copied.Begin + Copied.Length, Record.size()) == Record;
  }
};

/// Reads the steps of a delta.
struct delta_reader {
  std::string_view Rest;

  std::optional<char> step() {
    if (Rest.empty())
      return std::nullopt;
    const char Step = Rest.front();
    Rest.remove_prefix(1);
    return Step;
  }
  /// A number and the character that ends it.
  std::optional<std::size_t> number() {
    constexpr std::size_t Base = 10;
    constexpr std::size_t Max = SIZE_MAX / Base - 1;
    std::size_t Number = 0;
    std::size_t Digits = 0;
    for (; Digits < Rest.size() && Rest[Digits] >= '0' && Rest[Digits] <= '9';
         ++Digits) {
      if (Number > Max)
        return std::nullopt;
      Number = Base * Number + static_cast<std::size_t>(Rest[Digits] - '0');
    }
    const bool Ends = Digits != 0 && Digits < Rest.size() &&
                      (Rest[Digits] == ' ' || Rest[Digits] == StepEnd);
    if (!Ends)
      return std::nullopt;
    Rest.remove_prefix(Digits + 1);
    return Number;
  }
  std::optional<std::string_view> text(std::size_t Length) {
    if (Length > Rest.size())
      return std::nullopt;
    const std::string_view Text = Rest.substr(0, Length);
    Rest.remove_prefix(Length);
    return Text;
  }
};

} // namespace

std::string encodeDelta(std::string_view From, std::string_view To) {
  std::unordered_map<std::string_view, std::size_t> Known;
  for (const std::string_view Record : recordsOf(From))
    Known.try_emplace(Record,
                      static_cast<std::size_t>(Record.data() - From.data()));
  delta_writer Writer{From, {}, {}, {}};
  addStep(Writer.Delta, Check, To.size(), wire::hashOf(To));
  for (const std::string_view Record : recordsOf(To)) {
    if (Writer.isNext(Record)) {
      Writer.copy(Writer.Copied.Begin + Writer.Copied.Length, Record.size());
      continue;
    }
    const auto Found = Known.find(Record);
    if (Found == Known.end())
      Writer.insert(Record);
    else
      Writer.copy(Found->second, Record.size());
  }
  Writer.flush();
  return std::move(Writer.Delta);
}

std::optional<std::string> applyDelta(std::string_view From,
                                      std::string_view Delta) {
  delta_reader Reader{Delta};
  if (Reader.step() != Check)
    return std::nullopt;
  const auto Size = Reader.number();
  const auto Hash = Reader.number();
  if (!Size || !Hash)
    return std::nullopt;
  std::string To;
  while (const auto Step = Reader.step()) {
    const auto First = Reader.number();
    if (!First)
      return std::nullopt;
    if (*Step == Copy) {
      const auto Length = Reader.number();
      if (!Length || *First > From.size() || *Length > From.size() - *First)
        return std::nullopt;
      To += From.substr(*First, *Length);
    } else if (*Step == Insert) {
      const auto Text = Reader.text(*First);
      if (!Text)
        return std::nullopt;
      To += *Text;
    } else {
      return std::nullopt;
    }
    if (To.size() > *Size)
      return std::nullopt;
  }
  const bool Same = To.size() == *Size && wire::hashOf(To) == *Hash;
  return Same ? std::optional(std::move(To)) : std::nullopt;
}

} // namespace redwinggw::session
