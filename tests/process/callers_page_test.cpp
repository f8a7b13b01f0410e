#include "fleet.hpp"

#include "redwinggw/base/time.hpp"

#include <boost/json.hpp>

#include <fstream>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

/// The first indented block after \p Heading in docs/CALLERS.md, as JSON.
boost::json::object exampleAfter(const std::string &Heading) {
  std::ifstream Page(REDWINGGW_SOURCE_DIR "/docs/CALLERS.md");
  std::string Line;
  while (std::getline(Page, Line) && Line != Heading) {
  }
  std::string Text;
  while (std::getline(Page, Line) && (Text.empty() || !Line.empty()))
    if (Line.starts_with("    "))
      Text += Line;
  return boost::json::parse(Text).as_object();
}

} // namespace

Test(callers_page, its_example_is_served_and_answered_as_it_says) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  boost::json::object Request = exampleAfter("## Request");
  Request["issued_at"] = redwinggw::base::wallMilliseconds();
  const std::string Key = "Bearer " + customerKey("dulciuri");
  const auto &Address = Fleet.instance("i1").Callers;
  const reply Reply = ask(Address, "/v1/statement", Request, Key);
  cr_assert(outcomeOf(Reply) == "done");
  for (const auto &Field : exampleAfter("## Answer"))
    cr_assert(Reply.Body.contains(Field.key()));
  // A repeated request is not run again, and the answer says so.
  const reply Again = ask(Address, "/v1/statement", Request, Key);
  cr_assert(Again.Body.contains("repeated"));
  cr_assert(Fleet.dump("orders-db-1", "select * from bag").size() == 1);
}
