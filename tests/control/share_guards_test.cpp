#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Each guard switched off lets one of these stories exceed the bound, so the
// checker sees what each of them is for.
Test(share_guards, without_each_guard_a_window_is_above) {
  struct guard {
    const char *Name;
    void (*SwitchOff)(share_settings &);
    scenario Run;
  };
  const std::vector<guard> Guards{
      {"count outstanding",
       [](share_settings &Off) { Off.Shares.CountOutstanding = false; },
       loadJumpsWhileTokensAreHeld},
      {"heed expiry",
       [](share_settings &Off) { Off.Shares.CheckExpiry = false; },
       consumerPausesWithTokens},
      {"match numbers",
       [](share_settings &Off) { Off.Shares.MatchNumbers = false; },
       datagramsAreDelayedReorderedAndDuplicated},
      {"taker waits", [](share_settings &Off) { Off.Lease.TakerWaits = false; },
       allocatorIsNotHeard},
      {"holder heeds end",
       [](share_settings &Off) { Off.Lease.HolderChecksEnd = false; },
       allocatorIsCutFromAll},
      {"extension needs majority",
       [](share_settings &Off) { Off.Lease.ExtensionNeedsMajority = false; },
       allocatorIsCutFromAll},
      {"extension heeds contact",
       [](share_settings &Off) { Off.Lease.ExtensionChecksContact = false; },
       allocatorIsCutFromTheStore},
      {"count from sending",
       [](share_settings &Off) { Off.Lease.CountFromSending = false; },
       allocatorPausesInARenewal},
  };
  std::size_t Missed = 0;
  for (const guard &Guard : Guards) {
    share_settings Settings;
    Guard.SwitchOff(Settings);
    const double Worst = Guard.Run(1, Settings);
    std::cerr << "without \"" << Guard.Name << "\": excess " << Worst << "\n";
    Missed += Worst <= Rounding ? 1 : 0;
  }
  cr_assert(Missed == 0);
}
