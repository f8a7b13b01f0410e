#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The endpoints that have registered themselves. Decisions without I/O.
namespace redwinggw::session {

enum class endpoint_role { Primary, Replica };

/// What an endpoint says of itself.
struct endpoint_entry {
  base::endpoint_name Name;
  base::service_name Service;
  http::address Address;
  base::zone_name Zone;
  unsigned Slots = 0;
  endpoint_role Role = endpoint_role::Replica;
  /// It leaves soon and takes no new work.
  bool Draining = false;
  /// Unix milliseconds of its start: another value under the same name is
  /// another process, which knows nothing of before.
  std::int64_t StartedAt = 0;

  friend bool operator==(const endpoint_entry &,
                         const endpoint_entry &) = default;
};

/// Two lists with the same entries in the same order have the same digest.
/// Thread safe.
std::uint32_t digestOf(const std::vector<endpoint_entry> &Entries);

struct known_endpoint {
  endpoint_entry Entry;
  /// Since when it has been seen to leave.
  std::optional<base::instant> LeavingSince;
};

struct directory_limits {
  /// Entries that lapsed while the list could not be read are back within two
  /// seconds of its return; one that is missing after that is gone.
  base::milliseconds ReregistrationTime{2200};
  /// A leaving endpoint is a last resort for so long after that was seen here.
  /// It must get no new work from seven seconds after it said so; a reading,
  /// its relay and one repetition of both may take three of them.
  base::milliseconds LeavingGrace{3500};
  /// Readings further apart than this mean that the list was not to be had.
  base::milliseconds OutageAfter{2500};
};

/// Not thread safe.
struct directory {
  directory_limits Limits;
  std::map<base::endpoint_name, known_endpoint, std::less<>> Endpoints;
  std::optional<base::instant> ReadAt;
  /// When the list could be read again after an outage.
  std::optional<base::instant> ReadableSince;
};

/// What a reading of the list changed.
struct directory_changes {
  /// New endpoints, and known ones that were started again.
  std::vector<base::endpoint_name> Started;
  std::vector<base::endpoint_name> Gone;
  /// Known ones that changed in another way.
  std::vector<base::endpoint_name> Changed;
};

/// Takes in a whole reading of the list.
directory_changes updateDirectory(directory &Directory,
                                  const std::vector<endpoint_entry> &Entries,
                                  base::instant Now);

/// The endpoints of \p Service, sorted by name.
std::vector<const endpoint_entry *> endpointsOf(const directory &Directory,
                                                std::string_view Service);

/// Whether \p Endpoint may get new work. One that was leaving when it was first
/// seen may have been for long, and gets none.
bool acceptsWork(const directory &Directory, const known_endpoint &Endpoint,
                 base::instant Now);

const endpoint_entry *findEndpoint(const directory &Directory,
                                   std::string_view Name);

} // namespace redwinggw::session
