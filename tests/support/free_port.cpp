#include "free_port.hpp"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace redwinggw::fleet {
namespace {

constexpr unsigned FirstPort = 10'000;
constexpr unsigned Ports = 20'000;
constexpr unsigned PortsAProcess = 97;

bool isFree(std::uint16_t Port, int Type) {
  const int Socket = socket(AF_INET, Type, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool Free = bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                         sizeof Address) == 0;
  close(Socket);
  return Free;
}

} // namespace

http::address freeAddress() {
  static unsigned Next = static_cast<unsigned>(getpid()) * PortsAProcess;
  for (unsigned Tried = 0; Tried < Ports; ++Tried) {
    const auto Port = static_cast<std::uint16_t>(FirstPort + Next++ % Ports);
    if (isFree(Port, SOCK_STREAM) && isFree(Port, SOCK_DGRAM))
      return {"127.0.0.1", Port};
  }
  throw std::runtime_error("no port is free");
}

} // namespace redwinggw::fleet
