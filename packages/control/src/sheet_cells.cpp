#include "sheet_cells.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace redwinggw::control {
namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t DigestLength = 64;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;

bool isControl(char Letter) {
  const auto Byte = static_cast<unsigned char>(Letter);
  return Byte < FirstPrintable || Byte == Delete;
}

bool isAscii(char Letter) {
  return static_cast<unsigned char>(Letter) <= Delete;
}

/// Names are written into JSON, which must be UTF-8; Boost.JSON's parser checks
/// it.
bool isUtf8(const std::string &Text) {
  if (std::ranges::all_of(Text, isAscii))
    return true;
  boost::system::error_code Error;
  boost::json::parse(boost::json::serialize(boost::json::string(Text)), Error);
  return !Error;
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength && Text.front() != ' ' &&
         Text.back() != ' ' && std::ranges::none_of(Text, isControl) &&
         isUtf8(Text);
}

template <typename Number>
Number numberIn(const sheet_row &Row, sheet_column Column,
                cell_range<Number> Range, std::string_view What,
                std::vector<sheet_fault> &Faults) {
  const std::string &Cell = cellOf(Row, Column);
  Number Value{};
  const char *End = Cell.data() + Cell.size();
  const auto [Stop, Error] = std::from_chars(Cell.data(), End, Value);
  const bool Inside = Range.Min <= Value && Value <= Range.Max;
  if (Error == std::errc() && Stop == End && Inside)
    return Value;
  std::ostringstream Allowed;
  Allowed << std::fixed;
  Allowed.precision(std::is_floating_point_v<Number> ? 3 : 0);
  Allowed << What << " from " << Range.Min << " to " << Range.Max;
  addFault(Faults, Row, Column,
           Cell.empty() ? "is missing" : "'" + Cell + "' is not allowed",
           Allowed.str(),
           "write the number without unit or thousands separator");
  return Value;
}

} // namespace

const std::string &cellOf(const sheet_row &Row, sheet_column Column) {
  return Row.Cells[static_cast<std::size_t>(Column)];
}

void addFault(std::vector<sheet_fault> &Faults, const sheet_row &Row,
              sheet_column Column, std::string Problem, std::string Allowed,
              std::string Remedy) {
  Faults.push_back({Row.Number, std::string(base::nameOf(ColumnNames, Column)),
                    std::move(Problem), std::move(Allowed), std::move(Remedy)});
}

std::string nameIn(const sheet_row &Row, sheet_column Column,
                   std::vector<sheet_fault> &Faults) {
  const std::string &Cell = cellOf(Row, Column);
  if (!isName(Cell))
    addFault(Faults, Row, Column, Cell.empty() ? "is missing" : "is not a name",
             "1 to 64 bytes of UTF-8 without control characters or spaces "
             "around them",
             "fill in a name");
  return Cell;
}

double decimalIn(const sheet_row &Row, sheet_column Column,
                 cell_range<double> Range, std::vector<sheet_fault> &Faults) {
  return numberIn(Row, Column, Range, "a number", Faults);
}

std::uint64_t wholeIn(const sheet_row &Row, sheet_column Column,
                      cell_range<std::uint64_t> Range,
                      std::vector<sheet_fault> &Faults) {
  return numberIn(Row, Column, Range, "a whole number", Faults);
}

http::address addressIn(const sheet_row &Row,
                        std::vector<sheet_fault> &Faults) {
  const std::string &Cell = cellOf(Row, sheet_column::Address);
  const auto Address = http::parseAddress(Cell);
  if (Address && Address->Port != 0)
    return *Address;
  addFault(Faults, Row, sheet_column::Address,
           Cell.empty() ? "is missing" : "'" + Cell + "' is not an address",
           "IP:port, as 10.0.0.7:5432", "write the IP number and port");
  return {};
}

std::string digestIn(const sheet_row &Row, std::vector<sheet_fault> &Faults) {
  std::string Digest = cellOf(Row, sheet_column::Digest);
  std::ranges::transform(Digest, Digest.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  const bool Hex =
      Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (Digest.size() == DigestLength && Hex)
    return Digest;
  // The message omits the cell: an operator may have pasted the key itself.
  addFault(Faults, Row, sheet_column::Digest,
           Digest.empty() ? "is missing" : "is not a digest",
           "64 hexadecimal digits",
           "copy the digest that `redwinggwctl key give` printed, never the "
           "key; withdraw the key if it was written here");
  return Digest;
}

} // namespace redwinggw::control
