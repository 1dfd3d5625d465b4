#pragma once

#include <cstdint>

namespace bilberry::policy {

// How many first tries pay for one retry.
inline constexpr uint32_t kFirstTriesPerRetry = 10;
// How many retries can be saved up for a burst of failures.
inline constexpr uint32_t kMaxSavedRetries = 10;

// Bounds the retries of one pool by its recent first tries: a token bucket that
// first tries fill and retries empty. It starts empty, so that retries are
// never more than one in kFirstTriesPerRetry of the first tries so far.
class RetryBudget {
 public:
  RetryBudget() = default;
  // With room for `max_saved` retries, all of them saved up at the start.
  explicit RetryBudget(uint32_t max_saved)
      : max_saved_(max_saved), credit_(max_saved * kFirstTriesPerRetry) {}

  // From now on no more are saved up.
  void SetMaxSaved(uint32_t max_saved);
  void NoteFirstTry();
  // Pays for one retry; false when the budget is used up.
  bool TryTake();
  bool CanAfford() const { return credit_ >= kFirstTriesPerRetry; }

 private:
  uint32_t max_saved_ = kMaxSavedRetries;
  uint32_t credit_ = 0;  // In first tries.
};

}  // namespace bilberry::policy
