#include "redwinggw/base/ids.hpp"

#include "redwinggw/base/digest.hpp"

#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace redwinggw::base {

std::string randomId() {
  constexpr std::size_t Bytes = 16;
  std::array<unsigned char, Bytes> Buffer{};
  if (RAND_bytes(Buffer.data(), Bytes) != 1)
    throw std::runtime_error("the random number generator failed");
  return toHex({reinterpret_cast<const char *>(Buffer.data()), Buffer.size()});
}

} // namespace redwinggw::base
