#pragma once

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "LibBase/ids.h"

namespace bilberry::transport {

// A socket that listens at a free port of the loopback address.
class LoopbackListener {
 public:
  explicit LoopbackListener(int backlog)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(descriptor_, backlog) == 0);
    socklen_t size = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~LoopbackListener() { close(descriptor_); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  // Blocks; negative after Stop().
  int Accept() const { return accept(descriptor_, nullptr, nullptr); }
  void Stop() const { shutdown(descriptor_, SHUT_RDWR); }
  base::SocketAddress address() const { return {"127.0.0.1", port_}; }

 private:
  int descriptor_;
  uint16_t port_ = 0;
};

}  // namespace bilberry::transport
