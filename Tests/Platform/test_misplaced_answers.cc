#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

#include "platform/stage_codec.h"
#include "platform/wire_names.h"
#include "platform_world.h"

// Answers that belong elsewhere, or that don't go with what came before them.
namespace bilberry::platform {
namespace {

using base::FindHeader;
using standins::EndpointFault;

TEST_SUITE_BEGIN("contract");

TEST_CASE("an error in place of a stream's rest is no part of it") {
  for (const EndpointFault fault :
       {EndpointFault::kRejects, EndpointFault::kFails, EndpointFault::kRefuses,
        EndpointFault::kOtherType}) {
    CAPTURE(static_cast<int>(fault));
    PlatformWorld world;
    for (int i = 0; i < 10; ++i)
      CHECK(world.Answer(world.StreamRequest("/resume/x")).status == 200);
    const size_t n = world.engine.arrivals().size();
    const size_t m = world.other_engine.arrivals().size();
    world.engine.OrderFault(EndpointFault::kCutsStream);
    world.other_engine.OrderFault(EndpointFault::kCutsStream);
    std::optional<transport::HttpOutcome> outcome;
    std::string bytes;
    world.http->Send(
        world.StreamRequest("/resume/x"),
        [&](transport::HttpOutcome it) { outcome = std::move(it); },
        [&](const transport::HttpResponse&, const std::string& it) {
          bytes += it;
        });
    REQUIRE(world.RunUntil([&] {
      return world.engine.arrivals().size() > n ||
             world.other_engine.arrivals().size() > m;
    }));
    (world.engine.arrivals().size() > n ? world.other_engine : world.engine)
        .OrderFault(fault);
    REQUIRE(world.RunUntil([&] { return outcome.has_value(); }));
    CHECK(std::holds_alternative<transport::HttpFailure>(*outcome));
    CHECK(bytes == "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n");
    CHECK(world.engine.arrivals().size() +
              world.other_engine.arrivals().size() ==
          n + m + 2);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
