#pragma once

#include <cstdint>
#include <string>

/// Identifier types that several packages share.
namespace redwinggw::base {

/// Name of an instance of redwinggw, unique in the platform's list of
/// instances.
using instance_name = std::string;
/// Name of an availability zone.
using zone_name = std::string;
/// Name of a customer, as in the configuration sheet.
using customer_name = std::string;
/// Name of a service that callers address.
using service_name = std::string;
/// Name of a database group.
using group_name = std::string;
/// Name of one endpoint: a database of a group.
using endpoint_name = std::string;

/// Term (epoch) of a group's primary. Increases with each promotion.
using term_number = std::uint64_t;
/// Position in a group's log (log sequence number): the number of entries up to
/// and including it.
using log_position = std::uint64_t;
/// Version of the configuration; 0 before the first sheet is accepted.
using config_version = std::uint64_t;

/// A random identifier of 128 bits in hexadecimal. Thread safe.
std::string randomId();

} // namespace redwinggw::base
