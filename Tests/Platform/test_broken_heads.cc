#include <doctest/doctest.h>

#include <string>

#include "../LibTransport/flood_server.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

namespace bilberry::platform {
namespace {

// Lists an endpoint of the pool that answers the fixture's first request with
// the beginning of a head.
void ListBrokenEndpoint(PlatformFixture& fixture,
                        const transport::FloodServer& server,
                        const std::string& pool) {
  fixture.store.Put(wire::kEndpointTable, "broken",
                    R"({"service":")" + pool + R"(","address":")" +
                        base::ToText(server.address()) +
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
      ListBrokenEndpoint(fixture, server, is_stream ? "llm" : "desk");
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

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
