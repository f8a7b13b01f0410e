#include "redwinggw/data/group_view.hpp"

#include <algorithm>
#include <ranges>

namespace redwinggw::data {
namespace {

/// Number of samples kept. With one sample per status answer they cover well
/// over the largest age that a sheet may declare for lagging replicas to be
/// useful.
constexpr std::size_t MaxSamples = 4096;

void addSample(group_view &View, base::log_position Position,
               base::instant At) {
  // Answers may arrive out of order: a sample with an earlier time or lower
  // position than the last one would break the order that ageOf relies on.
  if (!View.Samples.empty() &&
      (View.Samples.back().At >= At || View.Samples.back().Position > Position))
    return;
  View.Samples.push_back({At, Position});
  if (View.Samples.size() > MaxSamples)
    View.Samples.pop_front();
}

void enterTerm(group_view &View, base::term_number Term) {
  View.Term = Term;
  View.Primary.reset();
  // Positions on the old branch are not comparable with the new one.
  View.Samples.clear();
}

/// Whether a state with a lower term than the member's last one comes from a
/// member that restarted without its state, rather than from a late answer. If
/// it were ignored, the member would never be told which primary to follow. A
/// restart closes the member's connections, so a failure lies between the two
/// answers.
bool hasRestarted(const member_view &Member, base::instant AskedAt) {
  return Member.Failures > 0 && AskedAt > Member.FailingSince &&
         AskedAt > Member.AskedAt;
}

} // namespace

void observeState(group_view &View, const endpoint_state &State,
                  base::instant AskedAt) {
  member_view *Member = findMember(View, State.Name);
  if (Member == nullptr)
    return;
  if (Member->State && Member->State->Term > State.Term &&
      !hasRestarted(*Member, AskedAt))
    return;
  const bool Late = Member->State && Member->AskedAt > AskedAt;
  if (!Late) {
    Member->State = State;
    Member->AskedAt = AskedAt;
    Member->Failures = 0;
  }
  if (State.Term > View.Term)
    enterTerm(View, State.Term);
  if (State.Role != endpoint_role::Primary || State.Term != View.Term)
    return;
  View.Primary = State.Name;
  View.History = State.History;
  addSample(View, State.Received, AskedAt);
}

void observeFailure(group_view &View, std::string_view Name,
                    base::instant AskedAt) {
  member_view *Member = findMember(View, Name);
  if (Member == nullptr || (Member->State && Member->AskedAt > AskedAt))
    return;
  if (Member->Failures == 0)
    Member->FailingSince = AskedAt;
  ++Member->Failures;
}

const member_view *findMember(const group_view &View, std::string_view Name) {
  const auto Found =
      std::ranges::find_if(View.Members, [&](const member_view &Member) {
        return Member.Endpoint.Name == Name;
      });
  return Found == View.Members.end() ? nullptr : &*Found;
}

member_view *findMember(group_view &View, std::string_view Name) {
  return const_cast<member_view *>(
      findMember(static_cast<const group_view &>(View), Name));
}

std::optional<base::microseconds>
ageOf(const group_view &View, base::log_position Applied, base::instant Now) {
  // The last sample that the position covers: everything committed before that
  // sample's request was sent is included.
  const auto Above = std::ranges::upper_bound(View.Samples, Applied, {},
                                              &primary_sample::Position);
  if (Above == View.Samples.begin())
    return std::nullopt;
  return Now - std::ranges::prev(Above)->At;
}

void setMembers(group_view &View,
                const std::vector<control::endpoint> &Endpoints) {
  std::vector<member_view> Members;
  std::ranges::transform(Endpoints, std::back_inserter(Members),
                         [&](const control::endpoint &Endpoint) {
                           member_view Member;
                           if (const auto *Known =
                                   findMember(View, Endpoint.Name))
                             Member = *Known;
                           Member.Endpoint = Endpoint;
                           return Member;
                         });
  View.Members = std::move(Members);
}

} // namespace redwinggw::data
