#pragma once

#include <string>
#include <string_view>

/// Digests, through OpenSSL.
namespace redwinggw::base {

/// Bytes as lower-case hexadecimal. Thread safe.
std::string toHex(std::string_view Bytes);

/// SHA-256 of \p Data in hexadecimal. Thread safe.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256 of \p Data under \p Key, 32 raw bytes. Thread safe.
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// Compares in a time that depends on the lengths only, so that an answer's
/// time does not tell how much of a key or signature was right. Thread safe.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace redwinggw::base
