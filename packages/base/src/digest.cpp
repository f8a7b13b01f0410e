#include "redwinggw/base/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace redwinggw::base {
namespace {

const unsigned char *bytesOf(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

} // namespace

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (const char Byte : Bytes) {
    const auto Value = static_cast<unsigned char>(Byte);
    Text.push_back(Digits[Value >> 4U]);
    Text.push_back(Digits[Value & 0xfU]);
  }
  return Text;
}

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Out{};
  unsigned Size = 0;
  EVP_Digest(Data.data(), Data.size(), Out.data(), &Size, EVP_sha256(),
             nullptr);
  return toHex({reinterpret_cast<const char *>(Out.data()), Size});
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Out{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytesOf(Data),
       Data.size(), Out.data(), &Size);
  return {reinterpret_cast<const char *>(Out.data()), Size};
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace redwinggw::base
