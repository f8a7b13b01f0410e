#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/session/directory.hpp"
#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/promotion_evidence.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The endpoints of a service that may hold acknowledged commits, as recorded
/// in the platform's store where commits are replicated synchronously. The
/// endpoint list forgets an endpoint seconds after it has stopped, but it may
/// come back as the only one with some commit; or it runs, is merely not
/// listed, and goes on acknowledging commits. Decisions without I/O.
namespace redwinggw::session {

struct recorded_holder {
  http::address Address;
  base::zone_name Zone;
  bool Draining = false;
  /// The others had all that it may have acknowledged when it was silent. It
  /// counts again if it answers: it may have been started unnoticed.
  bool Covered = false;
  /// It was the primary when one was last listed.
  bool Leads = false;
  /// The agreed primary, if its log is here under another name.
  base::endpoint_name LogOf;

  friend bool operator==(const recorded_holder &,
                         const recorded_holder &) = default;
};

struct holder_record {
  base::service_name Service;
  /// Version of the row; 0 when there is none.
  std::uint64_t Version = 0;
  std::map<base::endpoint_name, recorded_holder, std::less<>> Holders;
};

/// The row's key, its value as JSON, and the decoding of both. Nothing for a
/// row that cannot be decoded. Thread safe.
constexpr std::string_view HolderPrefix = "holders/";
std::string holderKey(std::string_view Service);
std::string holderText(const holder_record &Record);
std::optional<holder_record>
readHolders(std::string_view Key, std::uint64_t Version, std::string_view Text);

/// \p Record with the \p Listed endpoints of its service, without those whose
/// log is at another one of them: a database that restarts is listed at its
/// address with its log and a new name, and the log of a drained one is
/// transferred to its successor there. Notes who has the log of \p Primary, the
/// agreed one. Thread safe.
holder_record withListed(holder_record Record,
                         const std::vector<endpoint_entry> &Listed,
                         const base::endpoint_name &Primary = {});

/// The recorded endpoint that was the primary when one was last listed, if it
/// is not listed any more. Empty if there is none. Thread safe.
base::endpoint_name unlistedPrimary(const holder_record &Record,
                                    const std::vector<endpoint_entry> &Listed);

/// Whether another recorded endpoint has the log of \p Name. Thread safe.
bool hasSuccessor(const holder_record &Record, std::string_view Name);

/// The recorded endpoints that are not listed. Thread safe.
std::vector<base::endpoint_name>
unlistedHolders(const holder_record &Record,
                const std::vector<endpoint_entry> &Listed);

/// The endpoints that may hold acknowledged commits, of which none has answered
/// yet: \p Primary, the one to be replaced, also if nobody knows which it is
/// and the name is empty; those that are \p Listed, which may be promoted; and
/// those that are recorded. Precondition: \p Record is withListed(). Thread
/// safe.
std::vector<log_holder> logHolders(const holder_record &Record,
                                   const std::vector<endpoint_entry> &Listed,
                                   const base::endpoint_name &Primary);

/// The most former addresses that are recorded of one service.
constexpr std::size_t MaxCoveredHolders = 8;

/// \p Record with its \p Silent holders covered: what is left of each is its
/// address, which names it. Thread safe.
holder_record withCovered(holder_record Record,
                          const std::vector<base::endpoint_name> &Silent);

/// Whether endpoints that are silent hold no acknowledged commit that the
/// others lack: enough replicas have all that the primary had when it was
/// asked, which was after the others had become silent. Preconditions:
/// \p Replicas have answered after \p Primary, and \p SynchronousReplicas is
/// not 0. Thread safe.
bool replicasHaveAll(const endpoint_status &Primary,
                     const std::vector<endpoint_status> &Replicas,
                     unsigned SynchronousReplicas);

} // namespace redwinggw::session
