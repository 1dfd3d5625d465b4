#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "http_pair.h"

namespace bilberry::transport {
namespace {

// A listening socket with a full backlog: the kernel drops the SYN packets of
// further connections, as a silent network does.
class FullListener {
 public:
  FullListener() : listening_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listening_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(listening_, 0) == 0);
    socklen_t size = sizeof(address);
    getsockname(listening_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    for (int& it : waiting_) {
      it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Connections beyond the first are never accepted.
      (void)connect(it, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }
  }
  ~FullListener() {
    for (const int it : waiting_)
      close(it);
    close(listening_);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  uint16_t port() const { return port_; }

 private:
  int listening_;
  std::array<int, 4> waiting_{};
  uint16_t port_ = 0;
};

TEST_CASE("a request whose connection times out is unreachable") {
  const FullListener full;
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.address = {"127.0.0.1", full.port()};
  const auto outcome = pair.Ask(request);
  const auto* failure = std::get_if<HttpFailure>(&outcome);
  REQUIRE(failure != nullptr);
  CAPTURE(failure->detail);
  CHECK(failure->kind == node::EndpointFailureKind::kUnreachable);
}

}  // namespace
}  // namespace bilberry::transport
