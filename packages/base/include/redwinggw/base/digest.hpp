#pragma once

#include <string>
#include <string_view>

/// Cryptographic digests, computed by OpenSSL.
namespace redwinggw::base {

/// Encodes \p Bytes as lower-case hexadecimal. Thread safe.
std::string toHex(std::string_view Bytes);

/// SHA-256 of \p Data in hexadecimal. Thread safe.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256 of \p Data under \p Key, 32 raw bytes. Thread safe.
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// Compares in a time that depends on the lengths only, so that the response
/// time does not reveal how much of a key or signature was correct. Thread
/// safe.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace redwinggw::base
