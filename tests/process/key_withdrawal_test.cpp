#include "fleet.hpp"

#include "redwinggw/base/time.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

constexpr const char *ReadSql = "select count(*) from bag";

bool isRefused(const reply &Reply) {
  return textIn(Reply.Body, "error") == "unknown_key";
}

/// Number of rows at the primary.
std::size_t rowsOf(running_fleet &Fleet) {
  return Fleet.dump("orders-db-1", "select * from bag").size();
}

} // namespace

// A key is withdrawn at one instance while a transaction under it is open at
// another. No statement may run under the key any more, at any instance, and
// the open transaction must leave no effect.
Test(key_withdrawal, a_withdrawn_key_stops_everywhere_and_stays_stopped) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  caller Caller(customerKey("dulciuri"), "orders");
  caller Other(customerKey("aterro"), "orders");
  const auto &First = Fleet.instance("i1").Callers;
  const auto &Second = Fleet.instance("i2").Callers;
  cr_assert(outcomeOf(Caller.write(
                Second, "insert into bag(grams) values(1)")) == "done");
  const reply Begun =
      Caller.send(Second, "/v1/begin",
                  {{"access", "write"},
                   {"request_id", "t"},
                   {"issued_at", redwinggw::base::wallMilliseconds()}});
  const std::string Transaction = textIn(Begun.Body, "transaction");
  cr_assert(!Transaction.empty());
  const boost::json::object Run{{"transaction", Transaction},
                                {"sql", "insert into bag(grams) values(3)"}};
  cr_assert(outcomeOf(Caller.send(Second, "/v1/run", Run)) == "done");
  // An instance that is briefly out of contact with a majority accepts no
  // change; the operator repeats it.
  cr_assert(eventually([&] {
    return Fleet.runTool("i1", {"key", "withdraw", "dulciuri-1"}).ExitCode == 0;
  }));
  cr_assert(eventually([&] {
    return isRefused(Caller.read(First, ReadSql)) &&
           isRefused(Caller.read(Second, ReadSql));
  }));
  const reply Commit =
      Caller.send(Second, "/v1/commit", {{"transaction", Transaction}});
  cr_assert(isRefused(Commit));
  for (int Try = 0; Try < 20; ++Try) {
    const auto &Address = Try % 2 == 0 ? First : Second;
    cr_assert(
        isRefused(Caller.write(Address, "insert into bag(grams) values(2)")));
  }
  cr_assert(rowsOf(Fleet) == 1);
  cr_assert(outcomeOf(Other.read(First, ReadSql)) == "done");
}
