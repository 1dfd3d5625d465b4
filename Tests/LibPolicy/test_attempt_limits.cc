#include <doctest/doctest.h>

#include "LibPolicy/attempt_limits.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;

const StageKey kGenerate{{"engines"}, "/generate"};
constexpr milliseconds kDeclared{400};

TEST_SUITE_BEGIN("policy");

TEST_CASE("an unmeasured stage goes by its declared time") {
  const AttemptLimits times;
  CHECK(times.LimitOf(kGenerate, kDeclared) ==
        kDeclared * kUnmeasuredFactor * kAttemptLimitFactor);
  CHECK(times.LimitOf(kGenerate, milliseconds(1)) == kShortestAttemptLimit);
}

TEST_CASE("the limit follows what a stage takes, both ways") {
  AttemptLimits times;
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(200));
  const base::Duration steady = times.LimitOf(kGenerate, kDeclared);
  CHECK(steady >= milliseconds(400));
  CHECK(steady < milliseconds(500));
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(1000));
  const base::Duration slow = times.LimitOf(kGenerate, kDeclared);
  CHECK(slow >= milliseconds(2000));
  CHECK(slow < milliseconds(2500));
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(200));
  CHECK(times.LimitOf(kGenerate, kDeclared) < milliseconds(500));
}

TEST_CASE("paths and pools are told apart") {
  AttemptLimits times;
  times.Record(kGenerate, milliseconds(5000));
  CHECK(times.LimitOf({{"engines"}, "/encode"}, milliseconds(10)) ==
        kShortestAttemptLimit);
  CHECK(times.LimitOf({{"desk"}, "/generate"}, milliseconds(10)) ==
        kShortestAttemptLimit);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
