#pragma once

#include <optional>
#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::membership {

// The change is in force.
struct ChangeAccepted {
  base::Revision revision{};
};
// Another change won the compare-and-swap; nothing of this change took effect.
struct ChangeConflicted {
  base::Revision in_force{};
};
// The revision in force is not the one that the change was based on.
struct ChangeOutdated {
  base::Revision in_force{};
};
// Nothing was changed: the platform did not answer in time or the head can't be
// read.
struct ChangeNotApplied {
  std::string reason;
};
// It is unknown whether the change took effect.
struct ChangeUndecided {
  std::string change;
};

using ChangeOutcome = std::variant<ChangeAccepted,
                                   ChangeConflicted,
                                   ChangeOutdated,
                                   ChangeNotApplied,
                                   ChangeUndecided>;

// The platform's answer, or how the request failed.
using PlatformReply = std::variant<base::PlatformAnswer, base::PlatformFailure>;

// One change of the configuration by an operator: reads the head, stores the
// document, and moves the head by compare-and-swap. Sends one request at a time
// to the platform. After a lost answer, the change id in the head shows whether
// the change took effect.
class ConfigurationChange {
 public:
  // `change` is a unique id; `expected` is the revision that the operator saw,
  // if any.
  ConfigurationChange(std::string document,
                      std::string change,
                      std::optional<base::Revision> expected);

  // The next request to the platform; empty once there is an outcome.
  std::optional<base::PlatformRequest> NextRequest() const;
  void HandleReply(const PlatformReply& reply);

  const std::optional<ChangeOutcome>& outcome() const { return outcome_; }

 private:
  enum class Step { kReadingHead, kStoring, kMovingHead };

  void HandleHead(const PlatformReply& reply);
  void HandleStored(const PlatformReply& reply);
  void HandleHeadMoved(const PlatformReply& reply);
  void CountFailure(const PlatformReply& reply);

  std::string document_;
  std::optional<base::Revision> expected_;
  Step step_ = Step::kReadingHead;
  base::RowVersion seen_version_ = base::RowVersion::kAbsent;
  ConfigurationHead next_;
  int failures_ = 0;
  // A write of the head may have taken effect, or may still do so.
  bool may_have_moved_head_ = false;
  std::optional<ChangeOutcome> outcome_;
};

}  // namespace bilberry::membership
