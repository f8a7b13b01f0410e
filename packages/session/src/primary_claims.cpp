#include "redwinggw/session/primary_claims.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace redwinggw::session {

namespace json = boost::json;

bool applyClaim(primary_claims &Claims, const primary_claim &Claim,
                base::instant Now) {
  Claims.Version = std::max(Claims.Version, Claim.Epoch);
  const auto [At, New] = Claims.Known.try_emplace(
      Claim.Service, primary_claims::known{Claim, Now});
  if (New)
    return true;
  const primary_claim &Present = At->second.Claim;
  const base::term_number Term = std::max(Present.Term, Claim.Term);
  const bool Later =
      Claim.Epoch > Present.Epoch ||
      (Claim.Epoch == Present.Epoch && Present.Moving && !Claim.Moving);
  if (Later)
    At->second = {Claim, Now};
  At->second.Claim.Term = Term;
  return Later;
}

void noteComplete(primary_claims &Claims, std::uint64_t Epoch) {
  Claims.CompleteUpTo = std::max(Claims.CompleteUpTo, Epoch);
}

const primary_claims::known *findClaim(const primary_claims &Claims,
                                       std::string_view Service) {
  const auto Found = Claims.Known.find(Service);
  return Found == Claims.Known.end() ? nullptr : &Found->second;
}

std::vector<wire::group_report> reportsOf(const primary_claims &Claims) {
  std::vector<wire::group_report> Reports;
  Reports.reserve(Claims.Known.size());
  for (const auto &[Service, Known] : Claims.Known) {
    const primary_claim &Claim = Known.Claim;
    Reports.push_back({Service, Claim.Epoch, Claim.Primary, false, Claim.Moving,
                       Claim.Orderer, Claim.Term});
  }
  return Reports;
}

std::optional<std::uint64_t> readOrdererToken(std::string_view Text) {
  if (Text.empty())
    return 0;
  const std::size_t Space = Text.rfind(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  std::uint64_t Token = 0;
  const auto [End, Code] =
      std::from_chars(Text.begin() + Space + 1, Text.end(), Token);
  // The next one has to be higher.
  const bool Readable = Code == std::errc() && End == Text.end() &&
                        Token != std::numeric_limits<std::uint64_t>::max();
  return Readable ? std::optional(Token) : std::nullopt;
}

std::string claimKey(std::string_view Service) {
  return std::string(ClaimPrefix).append(Service);
}

std::string claimText(const primary_claim &Claim) {
  json::object Row{{"primary", Claim.Primary},
                   {"moving", Claim.Moving},
                   {"orderer", Claim.Orderer},
                   {"token", Claim.Token},
                   {"term", Claim.Term}};
  if (Claim.Target)
    Row["target"] = *Claim.Target;
  return json::serialize(Row);
}

std::optional<primary_claim>
readClaim(std::string_view Key, std::uint64_t Version, std::string_view Text) {
  try {
    const json::value Value = json::parse(Text);
    primary_claim Claim;
    Claim.Service = Key.substr(ClaimPrefix.size());
    Claim.Epoch = Version;
    Claim.Primary = Value.at("primary").as_string();
    Claim.Moving = Value.at("moving").as_bool();
    Claim.Orderer = Value.at("orderer").as_string();
    Claim.Token = Value.at("token").to_number<std::uint64_t>();
    // Older builds do not write these.
    if (const auto *Term = Value.as_object().if_contains("term"))
      Claim.Term = Term->to_number<base::term_number>();
    if (const auto *Target = Value.as_object().if_contains("target"))
      Claim.Target = Target->as_string();
    return Claim;
  } catch (const std::exception &Fault) {
    base::log(base::log_level::Error, base::log_part::Failover,
              "Row " + std::string(Key) + " cannot be read: " + Fault.what());
    return std::nullopt;
  }
}

} // namespace redwinggw::session
