#include "endpoint/faults.hpp"

#include <boost/json.hpp>

#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw::standin;

namespace {

/// Which requests and responses a cut drops.
struct cut_case {
  const char *Kind;
  const char *Peer;
  bool InstanceArrives;
  bool InstanceLeaves;
  bool EndpointArrives;
};

const std::vector<cut_case> Cases{
    {"cut", "instances", false, false, true},
    {"cut", "endpoints", true, true, false},
    {"cut", "all", false, false, false},
    {"cut", "i1", false, false, true},
    {"cut", "i2", true, true, true},
    {"cut_in", "instances", false, true, true},
    {"cut_out", "instances", true, false, true},
};

} // namespace

Test(faults, a_cut_stops_what_its_name_says_until_none) {
  const peer Instance{"i1", false};
  const peer Endpoint{"orders-db-2", true};
  for (const cut_case &Case : Cases) {
    endpoint_faults Faults;
    setFault(Faults, {{"kind", Case.Kind}, {"peer", Case.Peer}}, 0);
    cr_assert(arrives(Faults, Instance) == Case.InstanceArrives);
    cr_assert(leaves(Faults, Instance) == Case.InstanceLeaves);
    cr_assert(arrives(Faults, Endpoint) == Case.EndpointArrives);
    setFault(Faults, {{"kind", "none"}}, 0);
    cr_assert(arrives(Faults, Instance) && leaves(Faults, Endpoint));
  }
}

Test(faults, none_keeps_the_lags_and_the_work) {
  endpoint_faults Faults;
  setFault(Faults, {{"kind", "lag"}, {"ms", 50}}, 0);
  setFault(Faults, {{"kind", "work"}, {"ms", 0.2}}, 0);
  setFault(Faults, {{"kind", "silent"}}, 9);
  setFault(Faults, {{"kind", "none"}}, 9);
  cr_assert(Faults.ApplyLag == std::chrono::milliseconds(50));
  cr_assert(Faults.Work == std::chrono::microseconds(200));
  cr_assert(Faults.SilentUpTo == 0);
}
