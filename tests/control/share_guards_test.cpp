#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// With a guard switched off, one of the scenarios exceeds the bound: this shows
// that the check detects what each guard prevents.
Test(share_guards, without_each_guard_a_window_exceeds_the_bound) {
  struct guard {
    const char *Name;
    void (*SwitchOff)(share_settings &);
    scenario Run;
  };
  const std::vector<guard> Guards{
      {"count outstanding",
       [](share_settings &Off) { Off.Shares.CountOutstanding = false; },
       loadJumpsWhileTokensAreHeld},
      {"check expiry",
       [](share_settings &Off) { Off.Shares.CheckExpiry = false; },
       consumerPausesWithTokens},
      {"match numbers",
       [](share_settings &Off) { Off.Shares.MatchNumbers = false; },
       datagramsAreDelayedReorderedAndDuplicated},
      {"taker waits", [](share_settings &Off) { Off.Lease.TakerWaits = false; },
       allocatorCannotSend},
      {"holder checks end",
       [](share_settings &Off) { Off.Lease.HolderChecksEnd = false; },
       allocatorIsCutFromAll},
      {"extension needs majority",
       [](share_settings &Off) { Off.Lease.ExtensionNeedsMajority = false; },
       allocatorIsCutFromAll},
      {"extension checks contact",
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
