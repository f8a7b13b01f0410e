#include "redwinggw/base/base64.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace redwinggw::base {
namespace {

/// Base64 encodes each group of three bytes as four characters.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

const unsigned char *unsignedBegin(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string toBase64(std::string_view Text) {
  std::string Out(
      (Text.size() + GroupBytes - 1) / GroupBytes * GroupCharacters + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      unsignedBegin(Text), static_cast<int>(Text.size()));
  Out.resize(static_cast<std::size_t>(Size));
  return Out;
}

std::optional<std::string> fromBase64(std::string_view Text) {
  constexpr std::size_t MaxPadding = 2;
  std::string Out(Text.size() / GroupCharacters * GroupBytes + GroupBytes,
                  '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      unsignedBegin(Text), static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  // EVP_DecodeBlock decodes padding into zero bytes, which are removed here.
  const std::size_t Tail = std::min(MaxPadding, Text.size());
  const auto Padding = static_cast<std::size_t>(
      std::ranges::count(Text.substr(Text.size() - Tail), '='));
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

} // namespace redwinggw::base
