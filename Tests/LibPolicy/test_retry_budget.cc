#include <doctest/doctest.h>

#include "LibPolicy/retry_budget.h"

namespace bilberry::policy {
namespace {

TEST_SUITE_BEGIN("policy");

TEST_CASE("ten first attempts earn one retry") {
  RetryBudget budget;
  CHECK_FALSE(budget.TryTake());
  for (uint32_t i = 1; i < kFirstAttemptsPerRetry; ++i)
    budget.NoteFirstAttempt();
  CHECK_FALSE(budget.TryTake());
  budget.NoteFirstAttempt();
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
}

TEST_CASE("credit is capped at a small burst of retries") {
  RetryBudget budget;
  for (uint32_t i = 0; i < 100'000; ++i)
    budget.NoteFirstAttempt();
  uint32_t taken = 0;
  while (budget.TryTake())
    ++taken;
  CHECK(taken == kMaxSavedRetries);
}

TEST_CASE("a smaller bucket drops the credit beyond its size") {
  RetryBudget budget;
  for (uint32_t i = 0; i < 20 * kFirstAttemptsPerRetry; ++i)
    budget.NoteFirstAttempt();
  budget.SetMaxSaved(2);
  CHECK(budget.TryTake());
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
  budget.SetMaxSaved(0);
  for (uint32_t i = 0; i < kFirstAttemptsPerRetry; ++i)
    budget.NoteFirstAttempt();
  CHECK_FALSE(budget.CanAfford());
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
