#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The configuration of the whole fleet that one accepted sheet declares.
namespace redwinggw::control {

struct customer {
  base::customer_name Name;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  /// Requests that may exceed the rate at once.
  double Burst = 0;

  friend bool operator==(const customer &, const customer &) = default;
};

/// A key of a customer. Only its keyed digest is stored.
struct customer_key {
  std::string Id;
  base::customer_name Customer;
  /// HMAC-SHA-256 of the key under the fleet's key, in hexadecimal.
  std::string Digest;

  friend bool operator==(const customer_key &, const customer_key &) = default;
};

struct service {
  base::service_name Name;
  base::group_name Group;
  /// Maximum age of data that session reads without a declared name accept;
  /// zero sends them to the primary.
  base::milliseconds SessionMaxAge{0};

  friend bool operator==(const service &, const service &) = default;
};

/// A named read that accepts data up to the given age.
struct declared_read {
  std::string Name;
  base::service_name Service;
  base::milliseconds MaxAge{0};

  friend bool operator==(const declared_read &,
                         const declared_read &) = default;
};

/// One database of a group.
struct endpoint {
  base::endpoint_name Name;
  base::group_name Group;
  http::address Address;
  base::zone_name Zone;
  /// Statements that it can run concurrently.
  unsigned Slots = 0;
  /// Connections that it accepts from all instances together.
  unsigned Connections = 0;

  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Each list is sorted by Name or Id, which is unique in the list; only reads
/// are unique by name within their service.
struct configuration {
  base::config_version Version = 0;
  std::vector<customer> Customers;
  std::vector<customer_key> Keys;
  std::vector<service> Services;
  std::vector<declared_read> Reads;
  std::vector<endpoint> Endpoints;
  /// Indices in Keys, sorted by the keys' digests; see indexKeys.
  std::vector<std::uint32_t> KeysByDigest;

  /// Compares what the sheet declares; KeysByDigest is derived from it.
  friend bool operator==(const configuration &Left,
                         const configuration &Right) {
    return Left.Version == Right.Version && Left.Customers == Right.Customers &&
           Left.Keys == Right.Keys && Left.Services == Right.Services &&
           Left.Reads == Right.Reads && Left.Endpoints == Right.Endpoints;
  }
};

/// Builds KeysByDigest. Must be called after each change of Keys; until then
/// findKey may miss keys, but never finds one that is not in Keys.
void indexKeys(configuration &Configuration);

/// Look-ups by name; null when there is none. The pointer is valid as long as
/// \p Configuration is unchanged. Thread safe on a constant configuration.
const customer *findCustomer(const configuration &Configuration,
                             std::string_view Name);
const service *findService(const configuration &Configuration,
                           std::string_view Name);
const declared_read *findRead(const configuration &Configuration,
                              std::string_view Service, std::string_view Name);

/// The entry of \p Key if it is in force, else null. Without an index it
/// compares with all keys. Its run time reveals nothing useful about a key: the
/// search uses the keyed digest, which a caller cannot choose without the
/// fleet's key, and the last comparison takes constant time.
const customer_key *findKey(const configuration &Configuration,
                            std::string_view FleetKey, std::string_view Key);

/// The groups that have endpoints in \p Configuration, sorted, each once.
std::vector<base::group_name> groupsOf(const configuration &Configuration);

/// The endpoints of \p Group in the order of the configuration.
std::vector<endpoint> endpointsOf(const configuration &Configuration,
                                  std::string_view Group);

} // namespace redwinggw::control
