#include "redwinggw/http/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace redwinggw::http {

base::result<address> parseAddress(std::string_view Text) {
  base::failure Bad(base::errc::BadRequest,
                    "address '" + std::string(Text) + "' is not IP:port");
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Bad;
  address Address;
  Address.Host = Text.substr(0, Colon);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Address.Host, Error);
  if (Error)
    return Bad;
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Address.Port);
  if (Code != std::errc() || End != Port.data() + Port.size())
    return Bad;
  return Address;
}

std::string toText(const address &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

} // namespace redwinggw::http
