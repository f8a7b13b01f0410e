#include "fleet.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

const redwinggw::http::address &callersOf(running_fleet &Fleet,
                                          const char *Instance) {
  return Fleet.instance(Instance).Callers;
}

std::int64_t firstCell(const reply &Reply) {
  return Reply.Body.at("rows").at(0).at(0).as_int64();
}

} // namespace

// A session writes through one instance and reads through the other at once,
// before replicas have applied the write. It must read its own write.
Test(whole_path, a_session_that_roams_reads_its_own_write) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  caller Caller(customerKey("dulciuri"), "orders");
  for (int Weight = 1; Weight <= 20; ++Weight) {
    const char *Here = Weight % 2 == 0 ? "i1" : "i2";
    const char *There = Weight % 2 == 0 ? "i2" : "i1";
    const reply Written = Caller.write(
        callersOf(Fleet, Here), "insert into bag(grams) values(?)", {Weight});
    cr_assert(outcomeOf(Written) == "done", "%s", Fleet.logs().c_str());
    const reply Read =
        Caller.read(callersOf(Fleet, There), "select max(grams) from bag");
    cr_assert(outcomeOf(Read) == "done", "%s", Fleet.logs().c_str());
    cr_assert(firstCell(Read) == Weight);
  }
}

Test(whole_path, a_key_that_nobody_gave_is_refused_before_anything_runs) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  caller UnknownCaller("a key that nobody gave", "orders");
  const reply Refused = UnknownCaller.write(callersOf(Fleet, "i1"),
                                            "insert into bag(grams) values(1)");
  cr_assert(Refused.Status == 401);
  cr_assert(outcomeOf(Refused) == "not_run");
  cr_assert(Fleet.dump("orders-db-1", "select * from bag").empty());
}

// The answer to a write is lost between endpoint and instance, and the caller
// repeats the write through the other instance. It must run once, and the
// repeated request must return the first outcome.
Test(whole_path, a_write_whose_answer_is_lost_runs_once) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  Fleet.setFault("orders-db-1", {{"kind", "lose_answer"}, {"count", 1}});
  caller Caller(customerKey("dulciuri"), "orders");
  reply Reply =
      Caller.write(callersOf(Fleet, "i1"), "insert into bag(grams) values(7)");
  cr_assert(outcomeOf(Reply) == "unknown" || outcomeOf(Reply) == "done");
  const bool Done = eventually([&] {
    Reply = Caller.repeat(callersOf(Fleet, "i2"));
    return outcomeOf(Reply) == "done";
  });
  cr_assert(Done, "%s", Fleet.logs().c_str());
  cr_assert(Reply.Body.contains("repeated"));
  cr_assert(Fleet.dump("orders-db-1", "select * from bag").size() == 1);
}
