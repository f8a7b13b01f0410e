#include "driver.hpp"

#include "redwinggw/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::load;
namespace json = boost::json;

namespace {

/// The fault that the stand-in for an instance injects once.
enum class fault {
  None,
  LoseAnswer,  ///< Stores the write, closes without an answer.
  DoubleWrite, ///< Loses an answer and runs the retry again.
  LoseWrite,   ///< Acknowledges a write without storing it.
  StaleRead,   ///< Answers one read with the counter before the last write.
  MixCustomers ///< Answers with a row of another customer.
};

/// Serves the counter statements of the driver from memory.
struct fake_instance {
  fault Fault = fault::None;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Counters;
  std::map<std::string, bool> Seen;
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;

  bool injects(fault Kind) {
    constexpr std::uint64_t Late = 40;
    if (Fault != Kind || Requests < Late)
      return false;
    Fault = fault::None;
    return true;
  }

  http::response write(const json::object &Request) {
    const std::string Id(Request.at("request_id").as_string());
    const json::array &Params = Request.at("params").as_array();
    const std::string Session(Params.at(0).as_string());
    auto &[Customer, Count] = Counters[Session];
    Customer = Params.at(1).as_string();
    const bool Retry = !Seen.emplace(Id, true).second;
    Retries += Retry ? 1 : 0;
    if (!Retry && !injects(fault::LoseWrite))
      ++Count;
    if (injects(fault::DoubleWrite)) {
      Seen.erase(Id);
      return {0, "", "", 0};
    }
    if (injects(fault::LoseAnswer))
      return {0, "", "", 0};
    return {200, R"({"outcome":"done","session":"t","served_by":"primary"})"};
  }

  http::response read(const json::object &Request) {
    const std::string Asked(Request.at("params").as_array().at(0).as_string());
    const bool All = Asked.ends_with('%');
    const std::string Prefix = All ? Asked.substr(0, Asked.size() - 1) : Asked;
    json::array Rows;
    for (const auto &[Session, Row] : Counters) {
      if (All ? !Session.starts_with(Prefix) : Session != Asked)
        continue;
      const bool Stale = !All && Row.second > 0 && injects(fault::StaleRead);
      const bool Mixed = !All && injects(fault::MixCustomers);
      Rows.push_back(json::array{Session, Mixed ? "other" : Row.first,
                                 Row.second - (Stale ? 1 : 0)});
    }
    json::object Body{{"outcome", "done"}, {"session", "t"}};
    Body["served_by"] = "replica";
    Body["rows"] = std::move(Rows);
    return {200, json::serialize(Body)};
  }

  http::response answer(const http::request &Message) {
    const json::value Value = json::parse(Message.Body);
    const json::object &Request = Value.as_object();
    ++Requests;
    if (Request.at("access") == "read")
      return read(Request);
    if (!Request.contains("params"))
      return {200, R"({"outcome":"done"})"};
    return write(Request);
  }
};

load_plan smallPlan() {
  load_plan Plan;
  Plan.Customers = {{"c1", "k1", 1000, 1000, 300},
                    {"c2", "k2", 1000, 1000, 300}};
  Plan.Services = {"orders"};
  Plan.Duration = base::milliseconds(300);
  Plan.WriteShare = 0.5;
  Plan.TransactionShare = 0;
  return Plan;
}

load_report runAgainst(fake_instance &Instance) {
  boost::asio::io_context Context;
  http::server Server(Context.get_executor(), {},
                      [&Instance](http::connection &, http::request Request)
                          -> base::task<http::response> {
                        co_return Instance.answer(Request);
                      });
  const auto Address = Server.listen({"127.0.0.1", 0});
  driver Driver(Context.get_executor(), smallPlan(), {Address.value()}, {});
  load_report Report;
  const auto Run = [&]() -> base::task<void> {
    if (co_await Driver.prepare())
      Report = co_await Driver.run();
    Server.drain();
  };
  boost::asio::co_spawn(Context, Run(), boost::asio::detached);
  Context.run();
  return Report;
}

} // namespace

Test(driver, a_right_instance_shows_no_violation) {
  fake_instance Instance;
  const load_report Report = runAgainst(Instance);
  cr_assert(Report.Violations.empty());
  cr_assert(Report.Unchecked == 0);
  cr_assert(Report.Customers.size() == 2);
  for (const customer_report &Customer : Report.Customers) {
    cr_assert(Customer.Offered > 20);
    cr_assert(Customer.Done == Customer.Offered);
  }
  cr_assert(Report.ReadsByTarget.at("replica") > 0);
}

// The instance closes the connection after a write took effect and before its
// answer. The driver retries under the same request id and must count it once.
Test(driver, a_lost_answer_is_repeated_and_counts_once) {
  fake_instance Instance;
  Instance.Fault = fault::LoseAnswer;
  const load_report Report = runAgainst(Instance);
  cr_assert(Instance.Retries == 1);
  cr_assert(Report.Retried > 0);
  cr_assert(Report.Violations.empty());
}

// Tests the consistency check itself: a single violation among some hundred
// requests must be detected.
Test(driver, each_consistency_violation_is_detected) {
  const std::vector<std::pair<fault, violation>> Cases{
      {fault::DoubleWrite, violation::DoubledWrite},
      {fault::LoseWrite, violation::LostWrite},
      {fault::StaleRead, violation::StaleRead},
      {fault::MixCustomers, violation::WrongCustomer}};
  for (const auto &[Fault, Violation] : Cases) {
    fake_instance Instance;
    Instance.Fault = Fault;
    const load_report Report = runAgainst(Instance);
    cr_assert(Instance.Fault == fault::None);
    cr_assert(Report.Violations.contains(Violation));
  }
}
