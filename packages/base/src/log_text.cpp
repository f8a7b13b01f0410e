#include "redwinggw/base/log_text.hpp"

namespace redwinggw::base {

std::string logText(std::string_view Text) {
  // Others' lines must not be displaced by one party's text.
  constexpr std::size_t Longest = 500;
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned Base = 16;
  std::string Out;
  for (const char Character : Text.substr(0, Longest)) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\')
      Out.append({'\\', Character});
    else if (Byte >= ' ' && Byte <= '~')
      Out.push_back(Character);
    else
      Out.append("\\u00").append({Digits[Byte / Base], Digits[Byte % Base]});
  }
  if (Text.size() > Longest)
    Out.append("...");
  return Out;
}

} // namespace redwinggw::base
