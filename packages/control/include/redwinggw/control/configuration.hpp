#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The state of the whole fleet that one accepted sheet declares.
namespace redwinggw::control {

struct customer {
  base::customer_name Name;
  /// Requests a second over the whole fleet.
  double Rate = 0;
  /// Requests above the rate that may come at once.
  double Burst = 0;

  friend bool operator==(const customer &, const customer &) = default;
};

/// A key of a customer. Only its keyed digest is known.
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
  /// Age that session reads without a declared name accept; zero sends them
  /// to the primary.
  base::milliseconds SessionMaxAge{0};

  friend bool operator==(const service &, const service &) = default;
};

/// A read that accepts data of a stated age.
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
  /// Statements that it runs at once.
  unsigned Slots = 0;
  /// Connections that it allows over all instances.
  unsigned Connections = 0;

  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Each list is sorted by its Name or Id, and each of these is unique, but for
/// reads: they are unique by name within their service.
struct configuration {
  base::config_version Version = 0;
  std::vector<customer> Customers;
  std::vector<customer_key> Keys;
  std::vector<service> Services;
  std::vector<declared_read> Reads;
  std::vector<endpoint> Endpoints;
  /// Places in Keys in the order of their digests; see indexKeys.
  std::vector<std::uint32_t> KeysByDigest;

  /// Compares what the sheet says; the index follows from it.
  friend bool operator==(const configuration &Left,
                         const configuration &Right) {
    return Left.Version == Right.Version && Left.Customers == Right.Customers &&
           Left.Keys == Right.Keys && Left.Services == Right.Services &&
           Left.Reads == Right.Reads && Left.Endpoints == Right.Endpoints;
  }
};

/// Builds KeysByDigest. To be called after each change of Keys; until then
/// findKey may miss keys, but never finds one that is not in Keys.
void indexKeys(configuration &Configuration);

/// Look-ups by name; null when there is none. The pointer lives as long as
/// \p Configuration is unchanged. Thread safe on a constant configuration.
const customer *findCustomer(const configuration &Configuration,
                             std::string_view Name);
const service *findService(const configuration &Configuration,
                           std::string_view Name);
const declared_read *findRead(const configuration &Configuration,
                              std::string_view Service, std::string_view Name);

/// The customer whose key \p Key is in force, null when there is none. Without
/// an index it compares with all keys. Its time tells nothing of use about a
/// key: the search goes by the keyed digest, which a caller cannot steer
/// without the fleet's key, and the last comparison takes constant time.
const customer_key *findKey(const configuration &Configuration,
                            std::string_view FleetKey, std::string_view Key);

/// The groups that \p Configuration names, sorted, without repeats.
std::vector<base::group_name> groupsOf(const configuration &Configuration);

/// The endpoints of \p Group in the order of the configuration.
std::vector<endpoint> endpointsOf(const configuration &Configuration,
                                  std::string_view Group);

} // namespace redwinggw::control
