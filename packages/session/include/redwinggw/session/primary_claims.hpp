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

/// Which endpoint is the primary of each service, as agreed by the fleet.
namespace redwinggw::session {

/// The record of one service's primary that the whole fleet follows: a row of
/// the platform's store that is changed by conditional writes only.
struct primary_claim {
  base::service_name Service;
  /// Version of the row: grows with each change.
  std::uint64_t Epoch = 0;
  /// The primary; while Moving, the one that is being replaced.
  base::endpoint_name Primary;
  /// A new primary is being promoted: no endpoint may be used as the primary.
  bool Moving = false;
  /// The orderer is the instance that requests the promotion from the platform
  /// (orders it); the token is its fencing token.
  base::instance_name Orderer;
  std::uint64_t Token = 0;
  /// The newest term of the log that is agreed on: Primary leads it, also while
  /// Moving. 0 before the first move, and in rows of older builds.
  base::term_number Term = 0;
  /// While Moving, the endpoint whose promotion may have been ordered; empty
  /// while none was. Nothing if that is not known: in rows of older builds, and
  /// in claims that were learned from other instances.
  std::optional<base::endpoint_name> Target;

  friend bool operator==(const primary_claim &,
                         const primary_claim &) = default;
};

/// The claims that this instance knows. Not thread safe.
struct primary_claims {
  struct known {
    primary_claim Claim;
    /// When this instance learned of it.
    base::instant Since;
  };
  std::map<base::service_name, known, std::less<>> Known;
  /// Highest epoch of all claims.
  std::uint64_t Version = 0;
  /// Every move that was begun with this epoch or an earlier one is known here,
  /// of whichever service. Heartbeats announce it in the field that carries the
  /// version of the configuration with platform_kind::Own: a member's
  /// KnownVersion acknowledges the moves up to it. A single claim does not
  /// raise it, since another instance may have begun a move of another service
  /// before.
  std::uint64_t CompleteUpTo = 0;
};

/// Records that \p Claims contain every move that was begun with \p Epoch or
/// earlier.
void noteComplete(primary_claims &Claims, std::uint64_t Epoch);

/// Applies \p Claim unless a later one is known. Within one epoch a finished
/// move supersedes an unfinished one: its orderer tells the other instances
/// first and writes to the store, which may be down, second. True if it was
/// applied. The term never decreases, and is taken from older claims too: an
/// orderer that was cut off may have claimed with an earlier one.
bool applyClaim(primary_claims &Claims, const primary_claim &Claim,
                base::instant Now);

/// Null when no promotion of \p Service was ever ordered.
const primary_claims::known *findClaim(const primary_claims &Claims,
                                       std::string_view Service);

/// Reports of the claims for the other instances, in which each service is a
/// group and the term is the claim's epoch. They cover all claims, including
/// those on services that are not in the configuration in force here: an
/// instance that learns from the announced version that this one knows of a
/// move assumes that the move is reported too.
std::vector<wire::group_report> reportsOf(const primary_claims &Claims);

/// The fencing token at the end of the orderer's row \p Text, 0 if there is no
/// row. Nothing for a row that cannot be decoded. Thread safe.
std::optional<std::uint64_t> readOrdererToken(std::string_view Text);

/// The row's key, its value as JSON, and the decoding of both; the key calls a
/// service a group. Nothing for a row that cannot be decoded. Thread safe.
constexpr std::string_view ClaimPrefix = "group/";
std::string claimKey(std::string_view Service);
std::string claimText(const primary_claim &Claim);
std::optional<primary_claim>
readClaim(std::string_view Key, std::uint64_t Version, std::string_view Text);

} // namespace redwinggw::session
