#pragma once

/// Constants that client and server share.
namespace redwinggw::http {

constexpr unsigned HttpVersion = 11;

/// Header that names the sending process.
constexpr const char *FromField = "X-Redwinggw-From";

} // namespace redwinggw::http
