#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which endpoint is the primary of each service, as the fleet has agreed.
namespace redwinggw::session {

/// The agreement on one service's primary. It is a row of the platform's
/// store, changed under a condition only.
struct primary_claim {
  base::service_name Service;
  /// Version of the row: grows with each change.
  std::uint64_t Epoch = 0;
  /// The primary; while Moving the one that is given up.
  base::endpoint_name Primary;
  /// A new primary is being made: nobody may use any as the primary.
  bool Moving = false;
  /// Who orders the promotion, and its fencing token.
  base::instance_name Orderer;
  std::uint64_t Token = 0;

  friend bool operator==(const primary_claim &,
                         const primary_claim &) = default;
};

/// What this instance knows of the agreements. Not thread safe.
struct primary_claims {
  struct known {
    primary_claim Claim;
    /// When it was learned here.
    base::instant Since;
  };
  std::map<base::service_name, known, std::less<>> Known;
  /// Newest epoch of all; announced to the others as what is in force here.
  std::uint64_t Version = 0;
};

/// Takes in \p Claim unless a later one is known. Within one epoch a finished
/// move goes before an unfinished one: its orderer tells the others first and
/// the store, which may be down, second. True when something changed.
bool applyClaim(primary_claims &Claims, const primary_claim &Claim,
                base::instant Now);

/// Null when no promotion of \p Service was ever ordered.
const primary_claims::known *findClaim(const primary_claims &Claims,
                                       std::string_view Service);

/// What to tell the other instances of the agreements: all, also those on
/// services that are not in the configuration in force here. Whoever hears that
/// this instance knows of a move takes it that the move is told too.
std::vector<wire::group_report> reportsOf(const primary_claims &Claims);

/// The row's key, its value as JSON, and back. Nothing for what cannot be
/// read. Thread safe.
constexpr std::string_view ClaimPrefix = "group/";
std::string claimKey(std::string_view Service);
std::string claimText(const primary_claim &Claim);
std::optional<primary_claim>
readClaim(std::string_view Key, std::uint64_t Version, std::string_view Text);

} // namespace redwinggw::session
