#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flood_server.h"
#include "http_pair.h"

// How much one turn of the loop takes in, and in which order. The tests count
// bytes and turns, so that they don't depend on how fast the machine is.
namespace bilberry::transport {
namespace {

// libcurl passes on at most this many bytes in one call.
constexpr size_t kBlockBytes = size_t{16} * 1024;
constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kLines = "1\r\n\n\r\n";

// Answers without end, whose bytes are counted.
class Floods {
 public:
  Floods(HttpPair& pair, size_t answers) : pair_(pair), bytes_(answers, 0) {
    for (size_t i = 0; i < answers; ++i) {
      servers_.push_back(std::make_unique<FloodServer>(kChunkedHead, kLines));
      HttpRequest request = pair.Request();
      request.address = servers_.back()->address();
      ids_.push_back(pair.client->Send(
          request, [](const HttpOutcome&) {},
          [this, i](const HttpResponse&, const std::string& bytes) {
            bytes_[i] += bytes.size();
          }));
    }
    REQUIRE(pair.RunUntil([this] { return std::ranges::min(bytes_) > 0; }));
  }
  ~Floods() {
    for (const HttpTransferId it : ids_)
      pair_.client->Cancel(it);
  }
  Floods(const Floods&) = delete;
  Floods& operator=(const Floods&) = delete;

  size_t bytes() const {
    size_t sum = 0;
    for (const size_t it : bytes_)
      sum += it;
    return sum;
  }
  const std::vector<size_t>& bytes_of_each() const { return bytes_; }
  void Restart() { std::ranges::fill(bytes_, 0); }
  HttpTransferId id(size_t answer) const { return ids_[answer]; }

 private:
  HttpPair& pair_;
  std::vector<std::unique_ptr<FloodServer>> servers_;
  std::vector<HttpTransferId> ids_;
  std::vector<size_t> bytes_;
};

TEST_SUITE_BEGIN("turns");

// Guards against a host that answers nobody, because a turn of its loop takes
// in all that a few endpoints send (1.6 MB of each).
TEST_CASE("a turn takes in a bounded part of endless answers") {
  for (const size_t answers : {1, 8, 40}) {
    CAPTURE(answers);
    HttpPair pair([](const IncomingRequest&) {});
    Floods floods(pair, answers);
    size_t most = 0;
    for (int i = 0; i < 200; ++i) {
      floods.Restart();
      pair.reactor.RunOnce(kTurnTimeout);
      most = std::max(most, floods.bytes());
    }
    CHECK(most > 0);
    CHECK(most <= HttpClient::kTurnBytes + kBlockBytes);
  }
}

// Guards against answers that wait until others, which have no end, have no
// bytes left.
TEST_CASE("an ordinary answer comes between the bytes of endless ones") {
  constexpr size_t kAnswers = 16;
  // Far more than the few turns that connecting, asking and answering take.
  constexpr size_t kTurns = 40;
  HttpPair pair([&pair](const IncomingRequest& it) {
    pair.listener->Respond(it.exchange, {200, {}, "ok"});
  });
  Floods floods(pair, kAnswers);
  for (int i = 0; i < 5; ++i) {
    floods.Restart();
    const auto outcome = pair.Ask(pair.Request());
    CHECK(std::holds_alternative<HttpResponse>(outcome));
    CHECK(floods.bytes() <= kTurns * (HttpClient::kTurnBytes + kBlockBytes));
  }
}

// Guards against an answer that is never read while others have more bytes.
TEST_CASE("answers with more than a turn takes in have their turns in order") {
  constexpr size_t kSpan = size_t{2} * 1024 * 1024;
  HttpPair pair([](const IncomingRequest&) {});
  Floods floods(pair, 12);
  floods.Restart();
  REQUIRE(pair.RunUntil([&] { return floods.bytes() >= kSpan; }));
  CHECK(std::ranges::min(floods.bytes_of_each()) > 0);
  CHECK(std::ranges::max(floods.bytes_of_each()) <= kSpan / 2);
}

TEST_CASE("an answer that waits again and again comes whole") {
  std::string body;
  for (int i = 0; body.size() < size_t{3} * 1024 * 1024; ++i)
    body += std::to_string(i) + ' ';
  std::string chunks;
  for (size_t i = 0; i < body.size(); i += 10) {
    const std::string chunk = body.substr(i, 10);
    chunks +=
        std::string(chunk.size() == 10 ? "a" : std::to_string(chunk.size()));
    chunks += "\r\n" + chunk + "\r\n";
  }
  const std::string answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body,
      kChunkedHead + chunks + "0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
  };
  for (const std::string& answer : answers) {
    const FloodServer server(answer, "");
    HttpPair pair([](const IncomingRequest&) {});
    Floods floods(pair, 4);
    HttpRequest request = pair.Request();
    request.address = server.address();
    const auto outcome = pair.Ask(request);
    REQUIRE(std::holds_alternative<HttpResponse>(outcome));
    CHECK(std::get<HttpResponse>(outcome).body == body);
  }
}

// Guards against a transfer that never ends, because libcurl doesn't report
// what goes wrong when a waiting transfer is continued.
TEST_CASE("an answer that is malformed behind what a turn takes in fails") {
  std::string chunks = kChunkedHead;
  while (chunks.size() < size_t{512} * 1024)
    chunks += "a\r\n0123456789\r\n";
  const FloodServer server(chunks + "no length\r\n", "");
  HttpPair pair([](const IncomingRequest&) {});
  Floods floods(pair, 4);
  size_t malformed = 0;
  pair.client->SetMalformedHandler(
      [&](const base::SocketAddress&, const std::string&) { ++malformed; });
  HttpRequest request = pair.Request();
  request.address = server.address();
  const auto outcome = pair.Ask(request);
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK(std::get<HttpFailure>(outcome).is_malformed);
  CHECK(malformed == 1);
}

// Guards against bytes that pile up for a caller who doesn't read them.
TEST_CASE("an answer that is held is not read until it is resumed") {
  HttpPair pair([](const IncomingRequest&) {});
  Floods floods(pair, 2);
  pair.client->Hold(floods.id(0));
  pair.reactor.RunOnce(kTurnTimeout);
  floods.Restart();
  REQUIRE(pair.RunUntil([&] { return floods.bytes() > 1'000'000; }));
  CHECK(floods.bytes_of_each()[0] == 0);
  pair.client->Resume(floods.id(0));
  CHECK(pair.RunUntil([&] { return floods.bytes_of_each()[0] > 1'000'000; }));
}

TEST_CASE("a held answer can be cancelled") {
  HttpPair pair([](const IncomingRequest&) {});
  Floods floods(pair, 2);
  for (const size_t i : {0, 1}) {
    pair.client->Hold(floods.id(i));
    pair.reactor.RunOnce(kTurnTimeout);
    pair.client->Cancel(floods.id(i));
    pair.client->Resume(floods.id(i));
  }
  floods.Restart();
  for (int i = 0; i < 10; ++i)
    pair.reactor.RunOnce(std::chrono::milliseconds(1));
  CHECK(floods.bytes() == 0);
}

// Guards against callers whose bodies keep a host from all others.
TEST_CASE("a turn takes in a bounded part of the bodies of callers") {
  constexpr size_t kCallers = 24;
  constexpr size_t kBodyBytes = size_t{1} * 1024 * 1024;
  size_t arrived = 0;
  HttpPair pair([&](const IncomingRequest& it) {
    ++arrived;
    pair.listener->Respond(it.exchange, {204, {}, ""});
  });
  for (size_t i = 0; i < kCallers; ++i) {
    HttpRequest request = pair.Request();
    request.body.assign(kBodyBytes, 'b');
    pair.client->Send(std::move(request), [](const HttpOutcome&) {});
  }
  uint64_t most = 0;
  CHECK(pair.RunUntil([&, before = uint64_t{0}]() mutable {
    const uint64_t now = pair.listener->received_bytes();
    most = std::max(most, now - before);
    before = now;
    return arrived == kCallers;
  }));
  CHECK(most <= HttpListener::kTurnBytes +
                    SocketEvents::kBatch * HttpListener::kBlockBytes);
}

// Guards against a host that is kept from its other work, because it searches
// an answer from its first byte with each part that arrives.
TEST_CASE("the marker that allows reuse is searched once in an answer") {
  constexpr size_t kBodyBytes = size_t{2} * 1024 * 1024;
  const std::string body(kBodyBytes, 'b');
  const FloodServer server("HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(kBodyBytes) + "\r\n\r\n" + body,
                           "");
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.address = server.address();
  request.connection = node::ConnectionUse::kPooled;
  request.reuse_marker = "not there";
  CHECK(std::holds_alternative<HttpResponse>(pair.Ask(request)));
  CHECK(pair.client->searched_bytes() == kBodyBytes);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
