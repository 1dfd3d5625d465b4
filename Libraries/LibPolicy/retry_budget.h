#pragma once

#include <cstdint>

namespace bilberry::policy {

// First attempts that earn one retry.
inline constexpr uint32_t kFirstAttemptsPerRetry = 10;
// Bucket size: retries that can accumulate for a burst of failures.
inline constexpr uint32_t kMaxSavedRetries = 10;

// Limits the retries of one pool to a fraction of its first attempts: a token
// bucket that first attempts fill and retries drain. A default bucket starts
// empty, so that retries never exceed one in kFirstAttemptsPerRetry of all
// first attempts so far.
class RetryBudget {
 public:
  RetryBudget() = default;
  // A bucket that holds at most `max_saved` retries, and starts full.
  explicit RetryBudget(uint32_t max_saved)
      : max_saved_(max_saved), credit_(max_saved * kFirstAttemptsPerRetry) {}

  // Changes the bucket size; drops credit beyond it.
  void SetMaxSaved(uint32_t max_saved);
  void NoteFirstAttempt();
  // Takes one retry out of the bucket; false when the budget is used up.
  bool TryTake();
  bool CanAfford() const { return credit_ >= kFirstAttemptsPerRetry; }

 private:
  uint32_t max_saved_ = kMaxSavedRetries;
  uint32_t credit_ = 0;  // In first attempts.
};

}  // namespace bilberry::policy
