#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibTransport/request_reader.h"
#include "Standins/spelled_request.h"
#include "http_pair.h"
#include "raw_connection.h"

// Requests whose heads are spelled unusually or malformed.
namespace bilberry::transport {
namespace {

constexpr uint64_t kSeeds = 3000;
constexpr const char* kInner =
    "POST /inner HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n";

// A listener that answers all requests and keeps them.
struct KeepingListener {
  KeepingListener()
      : pair([this](const IncomingRequest& it) {
          requests.push_back(it);
          pair.listener->Respond(it.exchange, {200, {}, "ok"});
        }) {}

  void RunUntilAnswered(RawConnection& connection) {
    CHECK(pair.RunUntil([&] {
      connection.Receive();
      return connection.has_ended() || !connection.received().empty();
    }));
  }

  std::vector<IncomingRequest> requests;
  HttpPair pair;
};

// Compares what the listener made of the request with what was sent.
void CheckReading(const KeepingListener& listener,
                  const standins::SpelledRequest& request,
                  RawConnection& connection) {
  REQUIRE(listener.requests.size() == 1);
  const IncomingRequest& read = listener.requests.front();
  CHECK(read.method == request.method);
  CHECK(read.target == request.target);
  CHECK(read.headers == request.headers);
  CHECK(read.body == request.body);
  CHECK(connection.received().starts_with("HTTP/1.1 200 "));
}

TEST_SUITE_BEGIN("request-heads");

// Guards against a body that runs as a request of its own, and against a
// header of a caller that is taken for another one (UNASKED).
TEST_CASE(
    "a head is read as it was sent, or refused and its connection closed") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    const standins::SpelledRequest request = standins::DrawSpelledRequest(
        random, "/outer/x?a=1", {{"Host", "shop.example"}, {"X-First", "1"}},
        kInner);
    CAPTURE(seed);
    CAPTURE(request.spelling);
    CAPTURE(request.bytes);
    KeepingListener listener;
    RawConnection connection(listener.pair.listener->address());
    connection.Send(request.bytes);
    listener.RunUntilAnswered(connection);
    if (request.is_sound) {
      CheckReading(listener, request, connection);
      continue;
    }
    CHECK(listener.requests.empty());
    CHECK(connection.received().starts_with("HTTP/1.1 400 "));
    CHECK(listener.pair.RunUntil([&] {
      connection.Receive();
      return connection.has_ended();
    }));
    CHECK(listener.requests.empty());
  }
}

// Guards against a body that follows the answer to a HEAD request, which the
// client would take for its next answer.
TEST_CASE("the answer to a HEAD request has no body") {
  KeepingListener listener;
  RawConnection connection(listener.pair.listener->address());
  connection.Send("HEAD /x HTTP/1.1\r\nHost: shop.example\r\n\r\n");
  listener.RunUntilAnswered(connection);
  CHECK(connection.received().starts_with("HTTP/1.1 200 "));
  CHECK(connection.received().ends_with("\r\n\r\n"));
}

// Guards against a caller that ends the process with a body without chunks.
TEST_CASE("a chunked body is read in whatever parts it arrives") {
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: shop.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string chunks : {"", "2\r\nok\r\n", "2;a=b\r\nok\r\n"}) {
    for (const std::string end : {"0\r\n\r\n", "00\r\nName: value\r\n\r\n"}) {
      std::string bytes = head;
      bytes.append(chunks).append(end);
      for (size_t first = 1; first < bytes.size(); ++first) {
        for (size_t size : {size_t{1}, size_t{2}, size_t{3}, bytes.size()}) {
          CAPTURE(bytes);
          CAPTURE(first);
          CAPTURE(size);
          RequestReader reader{RequestLimits{}};
          std::string input = bytes.substr(0, first);
          size_t received = first;
          input.erase(0, reader.Read(input));
          while (received < bytes.size()) {
            input += bytes.substr(received, size);
            received += size;
            size_t used = 1;
            while (used > 0 && !input.empty()) {
              used = reader.Read(input);
              input.erase(0, used);
            }
          }
          CHECK(reader.state() == ReadingState::kWhole);
          CHECK(reader.request().body == (chunks.empty() ? "" : "ok"));
        }
      }
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
