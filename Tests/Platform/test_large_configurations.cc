#include <doctest/doctest.h>

#include <memory>

#include "Standins/relay.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// Configurations that take seconds to transfer to a host.
namespace bilberry::platform {
namespace {

TEST_SUITE_BEGIN("large-configurations");

// Guards against timeouts that count from the beginning of a call.
TEST_CASE("a host starts with a configuration that takes seconds to transfer") {
  PlatformFixture fixture(0);
  constexpr size_t kRoutes = 2000;
  const std::string document = standins::SmallConfiguration(8, kRoutes);
  fixture.store.Put(wire::kConfigurationTable, wire::kConfigurationKey,
                    document);
  const auto link = transport::Unwrap(standins::Relay::Create(
      fixture.reactor, {"127.0.0.1", 0}, fixture.store.address()));
  // The transfer takes 3 s.
  link->LimitRate(document.size() * 4 / 3 / 3);
  fixture.AddHost("entry-1", link->address());
  fixture.WaitUntilReady();
  CHECK(fixture.Answer(fixture.Request("GET", "/more-2000/a")).status == 200);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
