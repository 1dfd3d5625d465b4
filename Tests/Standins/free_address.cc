#include "Standins/free_address.h"

#include <unistd.h>

#include <string>

#include "LibTransport/http_listener.h"

namespace bilberry::standins {

namespace {

std::string OwnLoopbackIp() {
  constexpr unsigned kFirstOctet = 100;
  constexpr unsigned kOctetBits = 8;
  constexpr unsigned kOctetMask = 255;
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(kFirstOctet + (pid >> 2 * kOctetBits) % 100) +
         "." + std::to_string((pid >> kOctetBits) & kOctetMask) + "." +
         std::to_string(pid & kOctetMask);
}

}  // namespace

base::SocketAddress FreeAddress(transport::Reactor& reactor) {
  return transport::HttpListener::Create(
             reactor, {{OwnLoopbackIp(), 0}},
             [](const transport::IncomingRequest&) {})
      .value()
      ->address();
}

}  // namespace bilberry::standins
