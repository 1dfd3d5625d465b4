#include <doctest/doctest.h>

#include "LibForward/endpoint_limits.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

const base::EndpointName kName{"e1"};
constexpr base::Incarnation kFirstIncarnation{1};
constexpr base::Incarnation kSecondIncarnation{2};
constexpr RequestLimit kNone;

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

TEST_CASE("the newest answer determines an endpoint's limit") {
  EndpointLimits limits;
  CHECK_FALSE(limits.Note(kName, kFirstIncarnation, kNone, At(1), At(2)));
  CHECK(limits.Note(kName, kFirstIncarnation, {2}, At(3), At(4)));
  CHECK(limits.RateOf(kName, kFirstIncarnation) == 2);
  CHECK_FALSE(limits.Note(kName, kFirstIncarnation, {2}, At(5), At(6)));
  CHECK(limits.Note(kName, kFirstIncarnation, {5}, At(7), At(8)));
  CHECK(limits.RateOf(kName, kFirstIncarnation) == 5);
  CHECK(limits.Note(kName, kFirstIncarnation, kNone, At(9), At(10)));
  CHECK(limits.RateOf(kName, kFirstIncarnation) == std::nullopt);
  CHECK_FALSE(limits.Knows(kName));
}

TEST_CASE(
    "an answer that may be older than the newest can only lower a limit") {
  EndpointLimits limits;
  limits.Note(kName, kFirstIncarnation, {2}, At(10), At(20));
  CHECK_FALSE(limits.Note(kName, kFirstIncarnation, kNone, At(19), At(30)));
  CHECK_FALSE(limits.Note(kName, kFirstIncarnation, {3}, At(19), At(31)));
  CHECK(limits.RateOf(kName, kFirstIncarnation) == 2);
  CHECK(limits.Note(kName, kFirstIncarnation, {1}, At(19), At(32)));
  CHECK(limits.RateOf(kName, kFirstIncarnation) == 1);
}

TEST_CASE("a limit applies to one incarnation of an endpoint") {
  EndpointLimits limits;
  limits.Note(kName, kFirstIncarnation, {2}, At(10), At(20));
  CHECK(limits.RateOf(kName, kSecondIncarnation) == std::nullopt);
  CHECK(limits.Note(kName, kSecondIncarnation, kNone, At(11), At(21)));
  CHECK_FALSE(limits.Note(kName, kFirstIncarnation, {2}, At(30), At(40)));
  CHECK_FALSE(limits.Knows(kName));
}

}  // namespace
}  // namespace bilberry::forward
