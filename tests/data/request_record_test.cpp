#include "redwinggw/data/request_record.hpp"

#include <boost/json.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;

namespace {

constexpr std::int64_t Now = 1'764'700'000'000;
constexpr std::int64_t Hour = 60LL * 60 * 1000;

base::errc ageErrorOf(std::int64_t IssuedAt) {
  const auto Checked = checkAge(IssuedAt, Now);
  return Checked ? base::errc::Ok : kindOf(Checked.error());
}

} // namespace

// Guards against a payment that runs twice: the caller retries it after a day,
// when the record of the first try has been deleted. The retry must be refused.
Test(request_record, a_request_past_the_retention_is_refused) {
  cr_assert(ageErrorOf(Now - 23 * Hour) == base::errc::Ok);
  cr_assert(ageErrorOf(Now - 25 * Hour) == base::errc::RequestExpired);
  cr_assert(ageErrorOf(Now + 1 * Hour) == base::errc::BadRequest);
}

// Guards against an instance whose clock is ahead and that deletes records
// while one whose clock is behind still accepts retries of their requests.
Test(request_record, records_outlive_the_retention_by_a_margin) {
  const statement Delete = deleteExpired(Now);
  const std::int64_t Oldest = Delete.Params.at(0).as_int64();
  cr_assert(Now - Oldest > RecordRetention.count());
}

Test(request_record, parts_with_equal_concatenation_give_different_digests) {
  cr_assert(requestDigest({"ab", "c"}) != requestDigest({"a", "bc"}));
}

Test(request_record, a_retry_is_classified_by_state_and_digest) {
  const request_identity Identity{"dulce", "id", Now, "digest"};
  const request_record Done{request_state::Done, "digest", 1, ""};
  const request_record Other{request_state::Done, "other", 1, ""};
  const request_record Cancelled{request_state::Cancelled, "other", 0, ""};
  cr_assert(classifyRetry(Done, Identity) == retry_verdict::Done);
  cr_assert(classifyRetry(Other, Identity) == retry_verdict::Reused);
  const request_identity Enquiry{"dulce", "id", Now, ""};
  cr_assert(classifyRetry(Other, Enquiry) == retry_verdict::Done);
  cr_assert(classifyRetry(Cancelled, Identity) == retry_verdict::Cancelled);
}
