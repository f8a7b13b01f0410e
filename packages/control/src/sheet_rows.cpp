#include "sheet_rows.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

using enum sheet_column;

constexpr cell_range<double> RateRange{0.001, 10'000'000};
constexpr cell_range<double> BurstRange{1, 10'000'000};
constexpr cell_range<std::uint64_t> SlotRange{1, 10'000};
constexpr cell_range<std::uint64_t> ConnectionRange{1, 100'000};
constexpr cell_range<std::uint64_t> AgeRange{0, 86'400'000};
constexpr cell_range<std::uint64_t> VersionRange{0, 1'000'000'000'000};

using faults = std::vector<sheet_fault>;

base::milliseconds ageIn(const sheet_row &Row, faults &Faults) {
  return base::milliseconds(wholeIn(Row, MaxAge, AgeRange, Faults));
}

void readMadeFrom(const sheet_row &Row, sheet_content &Content,
                  faults &Faults) {
  Content.MadeFrom.push_back({wholeIn(Row, Name, VersionRange, Faults), &Row});
}

void readCustomer(const sheet_row &Row, sheet_content &Content,
                  faults &Faults) {
  customer Customer;
  Customer.Name = nameIn(Row, Name, Faults);
  Customer.Rate = decimalIn(Row, Rate, RateRange, Faults);
  Customer.Burst = decimalIn(Row, Burst, BurstRange, Faults);
  Content.Customers.push_back({std::move(Customer), &Row});
}

void readKey(const sheet_row &Row, sheet_content &Content, faults &Faults) {
  customer_key Key;
  Key.Id = nameIn(Row, Name, Faults);
  Key.Customer = nameIn(Row, Of, Faults);
  Key.Digest = digestIn(Row, Faults);
  Content.Keys.push_back({std::move(Key), &Row});
}

void readService(const sheet_row &Row, sheet_content &Content, faults &Faults) {
  service Service;
  Service.Name = nameIn(Row, Name, Faults);
  Service.Group = nameIn(Row, Of, Faults);
  Service.SessionMaxAge = ageIn(Row, Faults);
  Content.Services.push_back({std::move(Service), &Row});
}

void readRead(const sheet_row &Row, sheet_content &Content, faults &Faults) {
  declared_read Read;
  Read.Name = nameIn(Row, Name, Faults);
  Read.Service = nameIn(Row, Of, Faults);
  Read.MaxAge = ageIn(Row, Faults);
  Content.Reads.push_back({std::move(Read), &Row});
}

void readEndpoint(const sheet_row &Row, sheet_content &Content,
                  faults &Faults) {
  endpoint Endpoint;
  Endpoint.Name = nameIn(Row, Name, Faults);
  Endpoint.Group = nameIn(Row, Of, Faults);
  Endpoint.Zone = nameIn(Row, Zone, Faults);
  Endpoint.Address = addressIn(Row, Faults);
  Endpoint.Slots =
      static_cast<unsigned>(wholeIn(Row, Slots, SlotRange, Faults));
  Endpoint.Connections =
      static_cast<unsigned>(wholeIn(Row, Connections, ConnectionRange, Faults));
  Content.Endpoints.push_back({std::move(Endpoint), &Row});
}

/// A kind of row: the columns that it uses besides kind, and its parser.
struct row_kind {
  std::string_view Name;
  std::vector<sheet_column> Columns;
  void (*Read)(const sheet_row &, sheet_content &, faults &);
};

const std::vector<row_kind> &rowKinds() {
  static const std::vector<row_kind> Kinds{
      {"sheet", {Name}, readMadeFrom},
      {"customer", {Name, Rate, Burst}, readCustomer},
      {"key", {Name, Of, Digest}, readKey},
      {"service", {Name, Of, MaxAge}, readService},
      {"read", {Name, Of, MaxAge}, readRead},
      {"endpoint", {Name, Of, Zone, Address, Slots, Connections}, readEndpoint},
  };
  return Kinds;
}

void checkUnused(const sheet_row &Row, const row_kind &Kind, faults &Faults) {
  for (const auto &[Column, ColumnName] : ColumnNames) {
    const bool Used =
        Column == sheet_column::Kind ||
        std::ranges::find(Kind.Columns, Column) != Kind.Columns.end();
    if (!Used && !cellOf(Row, Column).empty())
      addFault(Faults, Row, Column, "is filled in",
               "nothing in a row of kind " + std::string(Kind.Name),
               "empty the cell, or move it to the row that it belongs to");
  }
}

void readRow(const sheet_row &Row, sheet_content &Content, faults &Faults) {
  const std::string &KindCell = cellOf(Row, sheet_column::Kind);
  const auto Found = std::ranges::find(rowKinds(), KindCell, &row_kind::Name);
  if (Found == rowKinds().end()) {
    addFault(Faults, Row, sheet_column::Kind,
             "'" + KindCell + "' is not a kind of row",
             "sheet, customer, key, service, read or endpoint",
             "correct the kind, or delete the row");
    return;
  }
  checkUnused(Row, *Found, Faults);
  Found->Read(Row, Content, Faults);
}

} // namespace

sheet_content contentOf(const std::vector<sheet_row> &Rows, faults &Faults) {
  sheet_content Content;
  for (const sheet_row &Row : Rows)
    readRow(Row, Content, Faults);
  return Content;
}

} // namespace redwinggw::control
