#include <doctest/doctest.h>

#include <string>

#include "flood_server.h"
#include "hasty_server.h"
#include "http_pair.h"

// Answers whose heads are spelled unusually or malformed.
namespace bilberry::transport {
namespace {

using namespace std::string_literals;

HttpOutcome AskOf(const std::string& head, bool is_streamed) {
  const FloodServer server("HTTP/1.1 200 OK\r\n" + head + "\r\nbody", "");
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.address = server.address();
  if (!is_streamed)
    return pair.Ask(std::move(request));
  std::optional<HttpOutcome> outcome;
  pair.client->Send(
      std::move(request),
      [&outcome](HttpOutcome it) { outcome = std::move(it); },
      [](const HttpResponse&, const std::string&) {});
  REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
  return std::move(*outcome);
}

TEST_SUITE_BEGIN("answer-heads");

// Guards against an answer that this program and libcurl, or a caller, read
// differently (MIXED).
TEST_CASE("an answer with a malformed head is a failure") {
  for (const std::string& head : {
           "Content-Length : 2\r\n"s,
           "Content-Length\t: 2\r\n"s,
           "Seal : x\r\nContent-Length: 4\r\n"s,
           ": x\r\nContent-Length: 4\r\n"s,
           "no colon\r\nContent-Length: 4\r\n"s,
           "X(: x\r\nContent-Length: 4\r\n"s,
           "X: a\rSeal: x\r\nContent-Length: 4\r\n"s,
           "X: a\x01\r\nContent-Length: 4\r\n"s,
           "X: a\x7f\r\nContent-Length: 4\r\n"s,
           "X: a\0b\r\nContent-Length: 4\r\n"s,
           "X: a\r\n Seal: x\r\nContent-Length: 4\r\n"s,
           " X: a\r\nContent-Length: 4\r\n"s,
           "Content-Length: 4\r\nContent-Length: 2\r\n"s,
           "Content-Length: 4, 2\r\n"s,
           "Content-Length: 4x\r\n"s,
           "Content-Length: +4\r\n"s,
           "Content-Length: \r\n"s,
           "Content-Length: 9223372036854775808\r\n"s,
           "Content-Length: 18446744073709551615\r\n"s,
           "Content-Length: 18446744073709551620\r\n"s,
           "Content-Length: 4000000000000000000000000000000\r\n"s,
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"s,
           "Transfer-Encoding: identity\r\n"s,
           "Transfer-Encoding: xchunked\r\n"s,
       }) {
    for (const bool is_streamed : {false, true}) {
      CAPTURE(head);
      CAPTURE(is_streamed);
      const auto outcome = AskOf(head, is_streamed);
      CHECK(std::holds_alternative<HttpFailure>(outcome));
    }
  }
}

TEST_CASE("an answer with an unusual head is read") {
  for (const std::string& head : {
           "Content-Length:4\r\n"s,
           "content-length: \t 4 \t\r\n"s,
           "Content-Length: 0000000000000000000000000000004\r\n"s,
           "X_Y: \r\n!#$%&'*+-.^_`|~0: \x80\xff\r\nContent-Length: 4\r\n"s,
           ""s,
       }) {
    CAPTURE(head);
    const auto outcome = AskOf(head, false);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    REQUIRE(response != nullptr);
    CHECK(response->body == "body");
  }
}

// Guards against a line that is joined to a header of an earlier answer, whose
// memory has been freed: the process ended.
TEST_CASE("an answer whose head begins with a folded line ends no process") {
  const std::string sound =
      "HTTP/1.1 200 OK\r\nName: value\r\nContent-Length: 4\r\n\r\nbody";
  HastyServer server(sound, 0, std::chrono::milliseconds(0), ServerEnd::kClose);
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.address = server.address();
  for (const std::string line : {" X: a", "\tX: a", "  :", " \t X: a"}) {
    for (int i = 0; i < 20; ++i) {
      CAPTURE(line);
      server.SetAnswer(sound);
      CHECK(std::holds_alternative<HttpResponse>(pair.Ask(request)));
      server.SetAnswer("HTTP/1.1 200 OK\r\n" + line +
                       "\r\nContent-Length: 4\r\n\r\nbody");
      CHECK(std::holds_alternative<HttpFailure>(pair.Ask(request)));
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
