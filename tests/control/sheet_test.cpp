#include "redwinggw/control/sheet.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "criterion_test.hpp"

using namespace redwinggw;
using control::parseSheet;

namespace {

const std::string Digest(64, 'a');

const std::string Header = "kind,name,of,zone,address,rate,burst,slots,"
                           "connections,max_age_ms,digest\n";

const std::string Good = Header +
                         "sheet,7,,,,,,,,,\n"
                         "customer,\"Bomboane, \"\"dulci\"\"\",,,,99.5,20,,,,\n"
                         "key,k1,\"Bomboane, \"\"dulci\"\"\",,,,,,,," +
                         Digest +
                         "\n"
                         "service,orders,orders-db,,,,,,,0,\n"
                         "read,menu,orders,,,,,,,5000,\n"
                         "endpoint,db1,orders-db,a,127.0.0.1:7001,,,5,35,,\n";

/// A sheet with the place of the fault that must be reported.
struct expected_fault {
  std::string Sheet;
  std::size_t Row;
  std::string Column;
};

std::string replaced(std::string Text, std::string_view Old,
                     std::string_view New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

/// The first fenced example of docs/SHEET.md.
std::string documentedExample() {
  const auto Root = std::filesystem::path(__FILE__).parent_path();
  std::ifstream File(Root / "../../docs/SHEET.md");
  std::stringstream Page;
  Page << File.rdbuf();
  const std::string Text = Page.str();
  const std::string Fence = "```csv\n";
  const std::size_t Begin = Text.find(Fence) + Fence.size();
  return Text.substr(Begin, Text.find("```", Begin) - Begin);
}

} // namespace

Test(sheet, a_quoted_sheet_reads_back_as_it_was_rendered) {
  const auto Parsed = parseSheet(Good);
  cr_assert(Parsed.Configuration.has_value());
  const control::configuration &Read = *Parsed.Configuration;
  cr_assert(Read.Version == 7);
  cr_assert(Read.Customers.front().Name == "Bomboane, \"dulci\"");
  cr_assert(Read.Customers.front().Rate == 99.5);
  cr_assert(Read.Keys.front().Digest == Digest);
  cr_assert(Read.Reads.front().MaxAge == base::milliseconds(5000));
  cr_assert(Read.Endpoints.front().Connections == 35);
  cr_assert(parseSheet(control::renderSheet(Read)).Configuration == Read);
}

Test(sheet, exports_of_common_spreadsheets_read_alike) {
  std::string Crlf;
  for (const char Letter : Good)
    Crlf += Letter == '\n' ? "\r\n" : std::string(1, Letter);
  const auto Plain = parseSheet(Good).Configuration;
  cr_assert(parseSheet("\xEF\xBB\xBF" + Crlf).Configuration == Plain);
  cr_assert(parseSheet(Good + "\n,,,,,,,,,,\n").Configuration == Plain);
  const std::string NoLastBreak = Good.substr(0, Good.size() - 1);
  cr_assert(parseSheet(NoLastBreak).Configuration == Plain);
}

Test(sheet, the_documented_example_is_a_good_sheet) {
  const auto Parsed = parseSheet(documentedExample());
  cr_assert(Parsed.Configuration.has_value());
  cr_assert(!Parsed.Configuration->Reads.empty());
}

Test(sheet, each_fault_is_named_by_row_and_column) {
  const std::vector<expected_fault> Cases{
      {"", 1, ""},
      {replaced(Good, "kind,name", "name,kind"), 1, "kind"},
      {replaced(Good, ",burst", ",bust"), 1, "bust"},
      {replaced(Good, ",burst", ",bust"), 1, "burst"},
      {replaced(Good, ",burst", ",rate"), 1, "rate"},
      {replaced(Good, "sheet,7,,,,,,,,,\n", ""), 0, ""},
      {Good + "sheet,7\n", 8, "kind"},
      {replaced(Good, "sheet,7", "sheet,seven"), 2, "name"},
      {Good + "guest,x\n", 8, "kind"},
      {Good + "customer,x,,,,0,1\n", 8, "rate"},
      {Good + "customer,x,,,,1e999,1\n", 8, "rate"},
      {Good + "customer,x,,,,nan,1\n", 8, "rate"},
      {Good + "customer,x,,,,1,0.5\n", 8, "burst"},
      {Good + "customer,x,,,,1 000,1\n", 8, "rate"},
      {Good + "customer,,,,,1,1\n", 8, "name"},
      {Good + "customer, x,,,,1,1\n", 8, "name"},
      {Good + "customer,\"x\ny\",,,,1,1\n", 8, "name"},
      {Good + "customer,\xFF,,,,1,1\n", 8, "name"},
      {Good + "customer,x,,a,,1,1\n", 8, "zone"},
      {Good + "customer,x,,,,1,1\ncustomer,x,,,,1,1\n", 9, "name"},
      {Good + "customer,x,,,,1,1,,,,,more\n", 8, ""},
      {Good + "customer,x\"y,,,,1,1\n", 8, ""},
      {Good + "customer,\"x\"y,,,,1,1\n", 8, ""},
      {Good + "customer,\"x,,,,1,1\n", 8, ""},
      {Good + "key,k2,nobody,,,,,,,," + std::string(64, 'b') + "\n", 8, "of"},
      {replaced(Good, Digest, "secret"), 4, "digest"},
      {Good + "key,k2,\"Bomboane, \"\"dulci\"\"\",,,,,,,," + Digest + "\n", 8,
       "digest"},
      {Good + "service,x,nowhere,,,,,,,0\n", 8, "of"},
      {Good + "read,x,nowhere,,,,,,,0\n", 8, "of"},
      {Good + "read,x,orders,,,,,,,-1\n", 8, "max_age_ms"},
      {Good + "read,x,orders,,,,,,,86400001\n", 8, "max_age_ms"},
      {Good + "endpoint,db2,orders-db,a,localhost,,,5,35\n", 8, "address"},
      {Good + "endpoint,db2,orders-db,a,127.0.0.1:7001,,,5,35\n", 8, "address"},
      {Good + "endpoint,db1,orders-db,a,127.0.0.1:7002,,,5,35\n", 8, "name"},
      {Good + "endpoint,db2,orders-db,a,127.0.0.1:7002,,,0,35\n", 8, "slots"},
      {Good + "endpoint,db2,orders-db,a,127.0.0.1:7002,,,5,\n", 8,
       "connections"},
  };
  for (const expected_fault &Case : Cases) {
    const auto Parsed = parseSheet(Case.Sheet);
    cr_assert(!Parsed.Configuration);
    const bool Named = std::ranges::any_of(
        Parsed.Faults, [&](const control::sheet_fault &Fault) {
          return Fault.Row == Case.Row && Fault.Column == Case.Column &&
                 !Fault.Problem.empty() && !Fault.Allowed.empty() &&
                 !Fault.Remedy.empty();
        });
    cr_assert(Named, "%zu %s in:\n%s", Case.Row, Case.Column.c_str(),
              Case.Sheet.c_str());
  }
}

Test(sheet, all_faults_are_reported_at_once_in_the_order_of_rows) {
  const auto Parsed = parseSheet(Good + "customer,,,,,0,0\nfoo\nread,a,b\n");
  std::vector<std::size_t> Rows;
  std::ranges::transform(Parsed.Faults, std::back_inserter(Rows),
                         &control::sheet_fault::Row);
  const std::vector<std::size_t> Expected{8, 8, 8, 9, 10, 10};
  cr_assert(Rows == Expected);
}

// An operator pastes the key itself into the digest column. The error message
// is displayed and logged, so it must not contain the cell.
Test(sheet, a_key_pasted_as_digest_is_not_repeated) {
  const auto Parsed = parseSheet(replaced(Good, Digest, "my-secret-key"));
  for (const control::sheet_fault &Fault : Parsed.Faults)
    cr_assert(describe(Fault).find("my-secret-key") == std::string::npos);
}
