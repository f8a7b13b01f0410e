#include "platform/decoding.hpp"

#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::platform;

namespace {

const std::string Entry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":5,"state":"ready","cold_remaining_ms":0,)"
    R"("database_role":"replica","sequence":4,"born":1772910598021})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

Test(decoding, reads_an_entry) {
  const auto Read = readEntry("i-1", Entry);
  cr_assert(Read && Read->Name == "i-1" && Read->Service == "s");
  cr_assert(Read && Read->Slots == 5 && !Read->Draining);
  cr_assert(Read && Read->Role == session::endpoint_role::Replica);
  cr_assert(Read && Read->StartedAt == 1772910598021);
  cr_assert(Read && Read->ColdRemaining.count() == 0);
  const auto Cold = readEntry(
      "i-1", replaced(Entry, R"(remaining_ms":0)", R"(remaining_ms":7800.5)"));
  cr_assert(Cold && Cold->ColdRemaining == base::milliseconds(7800));
  const auto Leaving =
      readEntry("i-1", replaced(Entry, R"("ready")", R"("draining")"));
  cr_assert(Leaving && Leaving->Draining);
}

// Another writer leaves invalid rows among the entries: they name no database,
// and must not hide those that do.
Test(decoding, ignores_invalid_entries) {
  cr_assert(!readEntry("x", ""));
  cr_assert(!readEntry("x", "[1,2]"));
  cr_assert(!readEntry("x", "\xff\xfe"));
  cr_assert(!readEntry("x", replaced(Entry, R"("ready")", R"("sleeping")")));
  cr_assert(!readEntry("x", replaced(Entry, R"("slots":5)", R"("slots":"5")")));
  cr_assert(!readEntry("x", replaced(Entry, R"("zone":"a",)", "")));
  cr_assert(!readEntry("x", replaced(Entry, "10.0.0.9:8080", "nowhere")));
  cr_assert(!readEntry("x", replaced(Entry, R"("replica")", R"("boss")")));
}

// Odd numbers, ports and nesting in the entry of another writer.
Test(decoding, ignores_entries_out_of_range) {
  for (const char *Slots :
       {"-1", "0", "1e40", "1e300", "1e999", "0.5", "null", "[5]"})
    cr_assert(!readEntry("x", replaced(Entry, R"("slots":5)",
                                       std::string(R"("slots":)") + Slots)),
              "%s", Slots);
  for (const char *Port : {"0", "65536", "99999", "-1", "", "80 ", "8080x"})
    cr_assert(!readEntry("x", replaced(Entry, "8080", Port)), "%s", Port);
  for (const char *Cold : {"1e300", "1e10", R"("0")", "[]"})
    cr_assert(
        !readEntry("x", replaced(Entry, R"(remaining_ms":0)",
                                 std::string(R"(remaining_ms":)") + Cold)));
  for (const char *Born : {"1e300", "1.5", "99999999999999999999", R"("1")"})
    cr_assert(!readEntry("x", replaced(Entry, "1772910598021", Born)));
  constexpr std::size_t Depth = 60'000;
  const std::string Deep = std::string(Depth, '[') + std::string(Depth, ']');
  cr_assert(!readEntry("x", Deep));
  cr_assert(!readEntry("x", replaced(Entry, "5", Deep)));
  cr_assert(!readEntry("x", replaced(Entry, "5", std::string(400, '9'))));
}

// A name with a blank or a line end became other fields, or another message, at
// the database that was told it.
Test(decoding, ignores_names_that_no_database_can_be_told) {
  cr_assert(!readEntry("i 1", Entry));
  cr_assert(!readEntry("i-1\r\nQUERY", Entry));
  cr_assert(!readEntry("", Entry));
  for (const char *Service : {"", "s t", R"(s\r\nBYE)", R"(s\n)"})
    cr_assert(!readEntry(
        "x", replaced(Entry, R"("service":"s")",
                      std::string(R"("service":")") + Service + "\"")));
}

Test(decoding, reads_a_configuration) {
  const auto Table = readConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"db","path_prefix":"/",)"
      R"("kind":"bounded_staleness","timeout_ms":3000,"target_latency_ms":800,)"
      R"("priority":2,"service":"s","max_attempts":2,"max_staleness_ms":1500,)"
      R"("public":false}],"services":[{"name":"s","connection_limit":50,)"
      R"("sync_replicas":0,"cold_start_s":8,"cold_per_s":12.5}],"limits":{"transaction_idle_ms":2500},)"
      R"("tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1,)"
      R"("rate_per_s":123,"burst":60.5}]})");
  cr_assert(Table && Table->Version == 7);
  const session::route *Route = findRoute(*Table, "db");
  cr_assert(Route != nullptr &&
            Route->Consistency == session::consistency::BoundedStaleness);
  cr_assert(Route != nullptr &&
            Route->MaxStaleness == base::milliseconds(1500));
  cr_assert(findRoute(*Table, "r") == nullptr);
  cr_assert(Table->Services.at("s").ColdStart == base::milliseconds(8000));
  cr_assert(Table->Services.at("s").ColdPerSecond == 12.5);
  const auto *Customer = findCustomer(*Table, "k2");
  cr_assert(Customer != nullptr && *Customer == "acme");
  cr_assert(findCustomer(*Table, "k3") == nullptr);
  cr_assert(Table->Customers.front().Burst == 60.5);
  cr_assert(Table->TransactionIdle == base::milliseconds(2500));
}

// Guards against home regions that are ignored because they cannot be read.
Test(decoding, reads_home_regions) {
  const auto Read = [](const std::string &OfRoute,
                       const std::string &OfTenant) {
    return readConfiguration(
        R"({"version":7,"services":[],"limits":{},"routes":[{"name":"r",)"
        R"("host":"db","kind":"primary","timeout_ms":3000,"service":"s",)"
        R"("target_latency_ms":800,"home_regions":)" +
        OfRoute +
        R"(}],"tenants":[{"name":"acme","api_keys":[],"rate_per_s":1,)"
        R"("burst":1,"home_regions":)" +
        OfTenant + "}]}");
  };
  const auto Table = Read(R"(["eu","us"])", R"(["eu"])");
  cr_assert(Table.has_value());
  const session::home_rule Rule = homesFor(*Table, "db", "acme");
  cr_assert(*Rule.Route == session::home_regions({"eu", "us"}));
  cr_assert(*Rule.Customer == session::home_regions({"eu"}));
  cr_assert(homesFor(*Table, "db", "bolt").Customer == nullptr);
  cr_assert(!isRestricted(homesFor(*Read("null", "[]"), "db", "acme")));
  for (const char *Wrong : {R"("eu")", "[1]", "{}"})
    cr_assert(!Read(Wrong, "[]") && !Read("[]", Wrong), "%s", Wrong);
}

// One customer's name must not keep the others from being served.
Test(decoding, leaves_out_customers_that_no_database_can_be_told) {
  const auto Table = readConfiguration(
      R"({"version":7,"services":[],"limits":{},"routes":[],"tenants":[)"
      R"({"name":"a b","api_keys":["k1"],"rate_per_s":1,"burst":1},)"
      R"({"name":"acme","api_keys":["k2"],"rate_per_s":1,"burst":1}]})");
  cr_assert(Table && findCustomer(*Table, "k1") == nullptr);
  cr_assert(Table && findCustomer(*Table, "k2") != nullptr);
}

// The conversion of a number out of range has no defined result.
Test(decoding, bounds_the_numbers_of_a_configuration) {
  const auto Table = readConfiguration(
      R"({"version":7,"limits":{"transaction_idle_ms":1e300},"tenants":[],)"
      R"("routes":[{"name":"r","host":"db","kind":"primary","service":"s",)"
      R"("timeout_ms":1e40,"target_latency_ms":-1,"priority":1e40}],)"
      R"("services":[{"name":"s","connection_limit":1e40,"cold_start_s":1e300}]})");
  cr_assert(Table.has_value());
  const session::route *Route = findRoute(*Table, "db");
  cr_assert(Route->Timeout > base::milliseconds(0));
  cr_assert(Route->TargetLatency == base::milliseconds(0));
  cr_assert(Table->TransactionIdle == Route->Timeout);
  cr_assert(Table->Services.at("s").Connections == Route->Priority);
}

Test(decoding, refuses_a_malformed_configuration) {
  cr_assert(!readConfiguration("{}"));
  cr_assert(!readConfiguration(R"({"version":"seven"})"));
  cr_assert(!readConfiguration("not json"));
}

namespace {

std::string configurationOf(std::size_t Routes) {
  std::string Text = R"({"version":7,"routes":[)";
  for (std::size_t Index = 0; Index < Routes; ++Index)
    Text += (Index == 0 ? "" : ",") +
            (R"({"name":"r","host":"db)" + std::to_string(Index)) +
            R"(","kind":"primary","timeout_ms":3000,"target_latency_ms":800,)"
            R"("priority":2,"service":"s"})";
  return Text + R"(],"services":[],"limits":{},"tenants":[]})";
}

} // namespace

// Guards against thousands of routes that keep a small machine from serving
// anything while it reads them.
Test(decoding, reads_a_large_configuration_in_steps) {
  constexpr std::size_t Routes = 5000;
  const std::string Text = configurationOf(Routes);
  configuration_reading Reading(Text);
  std::size_t Steps = 1;
  while (!Reading.readOn().value())
    ++Steps;
  cr_assert(Steps > Routes / 100);
  cr_assert(Reading.take().Routes.size() == Routes);
}

Test(decoding, refuses_a_configuration_that_ends_early_or_goes_on) {
  const std::string Text = configurationOf(400);
  for (const std::string &Bad :
       {Text.substr(0, Text.size() - 1), Text.substr(0, 20'000), Text + "x",
        std::string(), std::string("[]"), std::string("null")})
    cr_assert(!readConfiguration(Bad));
}
