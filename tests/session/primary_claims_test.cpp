#include "redwinggw/session/primary_claims.hpp"

#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

primary_claim claim(const std::string &Service, std::uint64_t Epoch,
                    bool Moving) {
  return {Service, Epoch, Service + "-1", Moving, "i1", 3};
}

} // namespace

// Guards against acknowledging a move without reporting it to the others.
Test(primary_claims, are_reported_whatever_services_are_configured) {
  primary_claims Claims;
  constexpr std::uint64_t Services = 20;
  for (std::uint64_t Number = 1; Number <= Services; ++Number)
    applyClaim(Claims, claim("s" + std::to_string(Number), Number, true), {});
  const auto Reports = reportsOf(Claims);
  cr_assert(Reports.size() == Services);
  for (const wire::group_report &Report : Reports) {
    const auto *Known = findClaim(Claims, Report.Group);
    cr_assert(Known != nullptr && Report.Term == Known->Claim.Epoch);
    cr_assert(Report.Primary == Known->Claim.Primary && Report.Moving);
    cr_assert(Report.Orderer == "i1" && !Report.Suspect);
  }
}

// A row that cannot be read ended the move of the service for good, or let the
// tokens begin again from 1.
Test(primary_claims, read_no_token_from_a_damaged_row) {
  cr_assert(readOrdererToken("") == 0U);
  cr_assert(readOrdererToken("i1 3 17") == 17U);
  for (const char *Text :
       {"a", "a ", "a 1 z", "a 1 -1", "a 1 12x", "a 1 1.5",
        "a 1 18446744073709551615", "a 1 99999999999999999999"})
    cr_assert(!readOrdererToken(Text), "%s", Text);
}

Test(primary_claims, keep_the_latest_of_a_service) {
  primary_claims Claims;
  cr_assert(applyClaim(Claims, claim("s", 5, true), {}));
  cr_assert(!applyClaim(Claims, claim("s", 4, false), {}));
  cr_assert(applyClaim(Claims, claim("s", 5, false), {}));
  cr_assert(!applyClaim(Claims, claim("s", 5, true), {}));
  cr_assert(!reportsOf(Claims).front().Moving);
}

// Guards against an orderer that was cut off and overwrites the agreed term
// with the earlier one that it has read.
Test(primary_claims, never_forget_an_agreed_term) {
  primary_claims Claims;
  primary_claim Finished = claim("s", 5, false);
  Finished.Term = 3;
  applyClaim(Claims, claim("s", 6, true), {});
  cr_assert(!applyClaim(Claims, Finished, {}));
  cr_assert(findClaim(Claims, "s")->Claim.Term == 3);
  cr_assert(applyClaim(Claims, claim("s", 7, true), {}));
  cr_assert(findClaim(Claims, "s")->Claim.Term == 3);
  cr_assert(reportsOf(Claims).front().LogTerm == 3);
}

Test(primary_claims, are_read_with_and_without_a_term) {
  primary_claim Claim = claim("s", 5, false);
  Claim.Term = 3;
  cr_assert(readClaim("group/s", 5, claimText(Claim)) == Claim);
  const auto Older =
      readClaim("group/s", 5,
                R"({"primary":"s-1","moving":false,"orderer":"i1","token":3})");
  cr_assert(Older && Older->Term == 0);
}
