#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../LibTransport/flood_server.h"
#include "../LibTransport/hasty_server.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

namespace bilberry::platform {
namespace {

// Lists an endpoint of the pool that doesn't answer in the protocol.
void ListBrokenEndpoint(PlatformFixture& fixture,
                        const base::SocketAddress& address,
                        const std::string& pool) {
  fixture.store.Put(wire::kEndpointTable, "broken",
                    R"({"service":")" + pool + R"(","address":")" +
                        base::ToText(address) +
                        R"(","zone":"z1","state":"ready","seq":1})");
  for (const char* name : {"desk-1", "desk-2", "llm-1", "llm-2"})
    fixture.store.Remove(wire::kEndpointTable, name);
  fixture.RunFor(std::chrono::milliseconds(1500));
}

std::string BrokenHead(const std::string& last_line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) + ": req-1\r\n" +
         wire::kServerSeal + ": seal\r\n" + last_line;
}

TEST_SUITE_BEGIN("broken-heads");

TEST_CASE("callers get no success from a head that breaks off") {
  for (const std::string last_line :
       {"", "Content-Le", "Content-Type: text/event-stream\r\n"}) {
    for (const std::string target : {"/read/x", "/book/x", "/draft/x"}) {
      CAPTURE(last_line);
      CAPTURE(target);
      const transport::FloodServer server(BrokenHead(last_line), "");
      PlatformFixture fixture;
      const bool is_stream = target == "/draft/x";
      ListBrokenEndpoint(fixture, server.address(), is_stream ? "llm" : "desk");
      auto request = is_stream ? fixture.StreamRequest(target)
                               : fixture.Request("GET", target);
      const auto outcome = fixture.Ask(std::move(request));
      const auto* response = std::get_if<transport::HttpResponse>(&outcome);
      REQUIRE(response != nullptr);
      CHECK(response->status == 502);
      CHECK(base::FindHeader(response->headers, wire::kServerSeal) == nullptr);
    }
  }
}

// What an endpoint in trouble sends in place of an answer to the fixture's
// first request, as the head's first lines and its body.
std::vector<std::string> BrokenAnswers() {
  const std::string own = std::string(wire::kRequestId) + ": req-1\r\n" +
                          wire::kServerSeal + ": seal\r\n";
  const std::string rest = own + "Content-Length: 4\r\n\r\nbody";
  return {
      "HTTP/1.1 200 OK\r\n Folded: x\r\n" + rest,
      "HTTP/1.1 200 OK\r\n" + own +
          "Content-Length: 18446744073709551620\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\n" + own + "Content-Length : 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\n" + own + "no field\r\n\r\nbody",
      "HTTP/1.1 000 OK\r\n" + rest,
      "HTTP/1.1 200x OK\r\n" + rest,
      "HTTP/1.1 200 OK\r\nSeal\x01: x\r\n" + rest,
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nHTTP/1.1 200 OK\r\n" + rest,
      "HTTP/1.1 200 OK\r\n" + own +
          "Transfer-Encoding: chunked\r\n\r\n4 x\r\nbody\r\n0\r\n\r\n",
  };
}

// Guards against answers that aren't the endpoint's (MIXED), hosts that end,
// and bookings that are sent twice (TWICE).
TEST_CASE("callers get a failure in place of a broken answer") {
  for (const std::string& answer : BrokenAnswers()) {
    for (const std::string target : {"/read/x", "/book/x", "/draft/x"}) {
      CAPTURE(answer);
      CAPTURE(target);
      const transport::HastyServer server(answer, 0,
                                          std::chrono::milliseconds(0),
                                          transport::ServerEnd::kClose);
      PlatformFixture fixture;
      const bool is_stream = target == "/draft/x";
      ListBrokenEndpoint(fixture, server.address(), is_stream ? "llm" : "desk");
      auto request = is_stream ? fixture.StreamRequest(target)
                               : fixture.Request("POST", target);
      if (target == "/read/x")
        request = fixture.Request("GET", target);
      const auto outcome = fixture.Ask(std::move(request));
      const auto* response = std::get_if<transport::HttpResponse>(&outcome);
      REQUIRE(response != nullptr);
      CHECK(response->status == 502);
      CHECK(base::FindHeader(response->headers, wire::kServerSeal) == nullptr);
      CHECK(server.request_count() >= 1);
      if (target == "/book/x")
        CHECK(server.request_count() == 1);
    }
  }
}

// Guards against a store, or whatever answers in its place, that ends a host.
TEST_CASE("a host serves on while the store sends broken answers") {
  const transport::HastyServer server(
      "HTTP/1.1 200 OK\r\n\tFolded: x\r\nContent-Length: 2\r\n\r\n[]", 0,
      std::chrono::milliseconds(0), transport::ServerEnd::kClose);
  PlatformFixture fixture;
  declare::ForwardSettings settings = fixture.settings.front();
  settings.store = server.address();
  fixture.shells.front()->ApplySettings(settings);
  fixture.RunFor(std::chrono::milliseconds(3000));
  CHECK(server.request_count() >= 2);
  const auto outcome = fixture.Ask(fixture.Request("GET", "/read/x"));
  const auto* response = std::get_if<transport::HttpResponse>(&outcome);
  REQUIRE(response != nullptr);
  CHECK(response->status == 200);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
