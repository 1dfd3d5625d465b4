#include <doctest/doctest.h>

#include "LibForward/endpoint_limits.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

const base::EndpointName kName{"e1"};
constexpr base::Incarnation kFirstLife{1};
constexpr base::Incarnation kSecondLife{2};
constexpr RequestLimit kNone;

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

TEST_CASE("the newest answer tells an endpoint's limit") {
  EndpointLimits limits;
  CHECK_FALSE(limits.Note(kName, kFirstLife, kNone, At(1), At(2)));
  CHECK(limits.Note(kName, kFirstLife, {2}, At(3), At(4)));
  CHECK(limits.RateOf(kName, kFirstLife) == 2);
  CHECK_FALSE(limits.Note(kName, kFirstLife, {2}, At(5), At(6)));
  CHECK(limits.Note(kName, kFirstLife, {5}, At(7), At(8)));
  CHECK(limits.RateOf(kName, kFirstLife) == 5);
  CHECK(limits.Note(kName, kFirstLife, kNone, At(9), At(10)));
  CHECK(limits.RateOf(kName, kFirstLife) == std::nullopt);
  CHECK_FALSE(limits.Knows(kName));
}

TEST_CASE(
    "an answer that may be older than the newest can only lower a limit") {
  EndpointLimits limits;
  limits.Note(kName, kFirstLife, {2}, At(10), At(20));
  CHECK_FALSE(limits.Note(kName, kFirstLife, kNone, At(19), At(30)));
  CHECK_FALSE(limits.Note(kName, kFirstLife, {3}, At(19), At(31)));
  CHECK(limits.RateOf(kName, kFirstLife) == 2);
  CHECK(limits.Note(kName, kFirstLife, {1}, At(19), At(32)));
  CHECK(limits.RateOf(kName, kFirstLife) == 1);
}

TEST_CASE("a limit is that of one life of an endpoint") {
  EndpointLimits limits;
  limits.Note(kName, kFirstLife, {2}, At(10), At(20));
  CHECK(limits.RateOf(kName, kSecondLife) == std::nullopt);
  CHECK(limits.Note(kName, kSecondLife, kNone, At(11), At(21)));
  CHECK_FALSE(limits.Note(kName, kFirstLife, {2}, At(30), At(40)));
  CHECK_FALSE(limits.Knows(kName));
}

}  // namespace
}  // namespace bilberry::forward
