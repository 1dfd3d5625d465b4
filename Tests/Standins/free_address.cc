#include "Standins/free_address.h"

#include <unistd.h>

#include <cstdint>
#include <string>

#include "LibTransport/http_listener.h"

namespace bilberry::standins {

namespace {

// Ports below this one are never assigned by the kernel itself (the default
// start of net.ipv4.ip_local_port_range).
constexpr uint16_t kFirstEphemeralPort = 32768;
constexpr uint16_t kFirstPort = 10000;

std::string OwnLoopbackIp() {
  constexpr unsigned kFirstOctet = 100;
  constexpr unsigned kOctetBits = 8;
  constexpr unsigned kOctetMask = 255;
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(kFirstOctet + (pid >> 2 * kOctetBits) % 100) +
         "." + std::to_string((pid >> kOctetBits) & kOctetMask) + "." +
         std::to_string(pid & kOctetMask);
}

uint16_t NextPort() {
  static uint16_t last_port = kFirstPort;
  last_port = last_port + 1 < kFirstEphemeralPort ? last_port + 1 : kFirstPort;
  return last_port;
}

bool IsFree(transport::Reactor& reactor, const base::SocketAddress& address) {
  return static_cast<bool>(transport::HttpListener::Create(
      reactor, {address}, [](const transport::IncomingRequest&) {}));
}

}  // namespace

// Doesn't use a kernel-assigned port, because the kernel could assign the same
// port to another socket before the listener is created.
base::SocketAddress FreeAddress(transport::Reactor& reactor) {
  base::SocketAddress address{OwnLoopbackIp(), NextPort()};
  while (!IsFree(reactor, address))
    address.port = NextPort();
  return address;
}

}  // namespace bilberry::standins
