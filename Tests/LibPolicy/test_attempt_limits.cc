#include <doctest/doctest.h>

#include "LibPolicy/attempt_timeouts.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;

const StageKey kGenerate{{"engines"}, "/generate"};
constexpr milliseconds kDeclared{400};

TEST_SUITE_BEGIN("policy");

TEST_CASE("the timeout of an unmeasured stage follows its declared time") {
  const AttemptTimeouts times;
  CHECK(times.TimeoutOf(kGenerate, kDeclared) ==
        kDeclared * kUnmeasuredTimeoutFactor * kAttemptTimeoutFactor);
  CHECK(times.TimeoutOf(kGenerate, milliseconds(1)) == kMinAttemptTimeout);
}

TEST_CASE("the timeout follows the stage's measured time up and down") {
  AttemptTimeouts times;
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(200));
  const base::Duration steady = times.TimeoutOf(kGenerate, kDeclared);
  CHECK(steady >= milliseconds(400));
  CHECK(steady < milliseconds(500));
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(1000));
  const base::Duration slow = times.TimeoutOf(kGenerate, kDeclared);
  CHECK(slow >= milliseconds(2000));
  CHECK(slow < milliseconds(2500));
  for (int i = 0; i < 100; ++i)
    times.Record(kGenerate, milliseconds(200));
  CHECK(times.TimeoutOf(kGenerate, kDeclared) < milliseconds(500));
}

TEST_CASE("each path of each pool has its own timeout") {
  AttemptTimeouts times;
  times.Record(kGenerate, milliseconds(5000));
  CHECK(times.TimeoutOf({{"engines"}, "/encode"}, milliseconds(10)) ==
        kMinAttemptTimeout);
  CHECK(times.TimeoutOf({{"desk"}, "/generate"}, milliseconds(10)) ==
        kMinAttemptTimeout);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
