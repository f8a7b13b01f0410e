#pragma once

#include "redwinggw/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// Network addresses in the form used in settings and sheets, "127.0.0.1:8080".
namespace redwinggw::http {

struct address {
  std::string Host;
  std::uint16_t Port = 0;

  friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "IP:port". Fails with errc::BadRequest. Thread safe.
base::result<address> parseAddress(std::string_view Text);

/// Formats \p Address as "IP:port". Thread safe.
std::string toText(const address &Address);

} // namespace redwinggw::http
