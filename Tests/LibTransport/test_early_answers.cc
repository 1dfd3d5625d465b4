#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "hasty_server.h"
#include "http_pair.h"

// Answers that come before the request has been sent whole, and answers that
// are none.
namespace bilberry::transport {
namespace {

HttpOutcome AskOf(const HastyServer& server, size_t body_bytes, bool streams) {
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.method = HttpMethod::kPost;
  request.address = server.address();
  request.body.assign(body_bytes, 'x');
  std::optional<HttpOutcome> outcome;
  HttpClient::ChunkHandler on_chunk;
  if (streams)
    on_chunk = [](const HttpResponse&, const std::string&) {};
  pair.client->Send(
      std::move(request),
      [&outcome](HttpOutcome it) { outcome = std::move(it); },
      std::move(on_chunk));
  REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
  return std::move(*outcome);
}

std::string AnswerOf(const std::string& status, const std::string& rest) {
  std::string answer = "HTTP/1.1 ";
  return answer.append(status).append(" Odd").append(rest);
}

TEST_SUITE_BEGIN("early-answers");

// Guards against a part of an answer that callers get as the whole (MIXED).
TEST_CASE("an answer without a length that is cut during the upload fails") {
  for (const size_t read_bytes : {0, 1, 2000, 100'000, 500'000}) {
    for (const int wait_ms : {0, 1, 5, 30}) {
      for (const ServerEnd end : {ServerEnd::kReset, ServerEnd::kClose}) {
        for (const bool streams : {false, true}) {
          CAPTURE(read_bytes);
          CAPTURE(wait_ms);
          CAPTURE(static_cast<int>(end));
          CAPTURE(streams);
          const HastyServer server("HTTP/1.1 200 OK\r\n\r\npart", read_bytes,
                                   std::chrono::milliseconds(wait_ms), end);
          const auto outcome = AskOf(server, 8'000'000, streams);
          CHECK(std::holds_alternative<HttpFailure>(outcome));
        }
      }
    }
  }
}

TEST_CASE("an early answer with its whole length is an answer") {
  const HastyServer server(
      "HTTP/1.1 413 Large\r\nContent-Length: 4\r\nConnection: "
      "close\r\n\r\nlong",
      1000, std::chrono::milliseconds(200), ServerEnd::kClose);
  const auto outcome = AskOf(server, 8'000'000, false);
  const auto* response = std::get_if<HttpResponse>(&outcome);
  REQUIRE(response != nullptr);
  CHECK(response->status == 413);
  CHECK(response->body == "long");
}

TEST_CASE("an answer without a length behind the whole request is an answer") {
  const HastyServer server("HTTP/1.1 200 OK\r\n\r\nwhole", 100'000,
                           std::chrono::milliseconds(0), ServerEnd::kClose);
  for (const bool streams : {false, true}) {
    const auto outcome = AskOf(server, 100'000, streams);
    CHECK(std::holds_alternative<HttpResponse>(outcome));
  }
}

TEST_CASE("an answer whose status is none of the protocol's is a failure") {
  for (const std::string status :
       {"000", "0", "00", "001", "020", "099", "600", "999", "1000", "20",
        "2000", "-200", "abc", ""}) {
    for (const std::string rest :
         {"\r\nContent-Length: 4\r\n\r\nbody", "\r\n\r\nbody"}) {
      for (const bool streams : {false, true}) {
        CAPTURE(status);
        CAPTURE(rest);
        CAPTURE(streams);
        const HastyServer server(AnswerOf(status, rest), 4,
                                 std::chrono::milliseconds(0),
                                 ServerEnd::kClose);
        const auto outcome = AskOf(server, 4, streams);
        CHECK(std::holds_alternative<HttpFailure>(outcome));
      }
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
