#include <doctest/doctest.h>

#include "LibBase/error.h"
#include "LibBase/ids.h"

namespace bilberry::base {
namespace {

TEST_CASE("a socket address survives parsing and printing") {
  const auto address = ParseSocketAddress("127.0.0.1:8080");
  REQUIRE(address);
  CHECK(ToText(*address) == "127.0.0.1:8080");
}

TEST_CASE("malformed socket addresses are rejected") {
  for (const char* text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                           "127.0.0.1:65536", "127.0.0.1:1x", "host:80"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseSocketAddress(text));
  }
}

TEST_CASE("an error's text holds its step and its peer") {
  const Error error{ErrorCode::kTimeout, Step::kClaim, "10.0.0.1:7000", "slow"};
  CHECK(ToText(error) == "claim at 10.0.0.1:7000: slow (timeout)");
}

TEST_CASE("attempt IDs differ by incarnation and number") {
  const AttemptId first{Incarnation{1}, 2};
  CHECK(ToText(first) != ToText(AttemptId{Incarnation{1}, 3}));
  CHECK(ToText(first) != ToText(AttemptId{Incarnation{2}, 2}));
}

}  // namespace
}  // namespace bilberry::base
