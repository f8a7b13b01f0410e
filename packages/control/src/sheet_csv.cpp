#include "sheet_csv.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view QuoteRemedy =
    "put the whole cell in quotes and double each quote inside it";

/// The rest of the text and the number of the current row.
struct csv_reader {
  std::string_view Rest;
  std::size_t RowNumber = 1;
};

bool isBlank(const csv_row &Row) {
  return std::ranges::all_of(Row.Cells, &std::string::empty);
}

bool atLineEnd(std::string_view Rest) {
  return Rest.empty() || Rest.starts_with('\n') || Rest.starts_with("\r\n");
}

std::string plainCell(csv_reader &Reader, std::vector<sheet_fault> &Faults) {
  std::size_t Length =
      std::min(Reader.Rest.find_first_of(",\n"), Reader.Rest.size());
  if (Length > 0 && Reader.Rest.substr(Length - 1).starts_with("\r\n"))
    --Length;
  std::string Cell(Reader.Rest.substr(0, Length));
  Reader.Rest.remove_prefix(Length);
  if (Cell.find('"') != std::string::npos)
    Faults.push_back({Reader.RowNumber, "", "a quote inside an unquoted cell",
                      "quotes only around a cell", std::string(QuoteRemedy)});
  return Cell;
}

std::string quotedCell(csv_reader &Reader, std::vector<sheet_fault> &Faults) {
  Reader.Rest.remove_prefix(1);
  std::string Cell;
  while (true) {
    const std::size_t Quote = Reader.Rest.find('"');
    Cell += Reader.Rest.substr(0, Quote);
    if (Quote == std::string_view::npos) {
      Reader.Rest = {};
      Faults.push_back({Reader.RowNumber, "", "a quoted cell has no end",
                        "a closing quote", std::string(QuoteRemedy)});
      return Cell;
    }
    Reader.Rest.remove_prefix(Quote + 1);
    if (!Reader.Rest.starts_with('"'))
      break;
    Cell += '"';
    Reader.Rest.remove_prefix(1);
  }
  if (atLineEnd(Reader.Rest) || Reader.Rest.starts_with(','))
    return Cell;
  Faults.push_back({Reader.RowNumber, "", "text after a closing quote",
                    "a comma or the end of the row", std::string(QuoteRemedy)});
  return Cell + plainCell(Reader, Faults);
}

csv_row takeRow(csv_reader &Reader, std::vector<sheet_fault> &Faults) {
  csv_row Row{Reader.RowNumber, {}};
  while (true) {
    Row.Cells.push_back(Reader.Rest.starts_with('"')
                            ? quotedCell(Reader, Faults)
                            : plainCell(Reader, Faults));
    if (!Reader.Rest.starts_with(','))
      break;
    Reader.Rest.remove_prefix(1);
  }
  if (Reader.Rest.starts_with('\r'))
    Reader.Rest.remove_prefix(1);
  if (Reader.Rest.starts_with('\n'))
    Reader.Rest.remove_prefix(1);
  ++Reader.RowNumber;
  return Row;
}

std::string quoted(const std::string &Cell) {
  if (Cell.find_first_of(",\"\r\n") == std::string::npos)
    return Cell;
  std::string Quoted = "\"";
  for (const char Letter : Cell)
    Quoted.append(Letter == '"' ? 2 : 1, Letter);
  return Quoted + '"';
}

} // namespace

std::vector<csv_row> readCsv(std::string_view Text,
                             std::vector<sheet_fault> &Faults) {
  if (Text.starts_with(ByteOrderMark))
    Text.remove_prefix(ByteOrderMark.size());
  csv_reader Reader{Text};
  std::vector<csv_row> Rows;
  while (!Reader.Rest.empty()) {
    csv_row Row = takeRow(Reader, Faults);
    if (!isBlank(Row))
      Rows.push_back(std::move(Row));
  }
  return Rows;
}

std::string csvLine(const std::vector<std::string> &Cells) {
  std::string Line;
  for (const std::string &Cell : Cells) {
    Line += quoted(Cell);
    Line += ',';
  }
  Line.pop_back();
  return Line + "\r\n";
}

} // namespace redwinggw::control
