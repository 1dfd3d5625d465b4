#pragma once

#include <optional>
#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::membership {

// The change is in force from now on.
struct ChangeAccepted {
  base::Revision revision{};
};
// Another change came first; nothing of this one took effect.
struct ChangeConflicted {
  base::Revision in_force{};
};
// The revision in force isn't the one that the change was made from.
struct ChangeOutdated {
  base::Revision in_force{};
};
// Nothing was changed: the platform did not answer in time.
struct ChangeNotApplied {
  std::string reason;
};
// Whether the change took effect is not known.
struct ChangeUndecided {
  std::string change;
};

using ChangeOutcome = std::variant<ChangeAccepted,
                                   ChangeConflicted,
                                   ChangeOutdated,
                                   ChangeNotApplied,
                                   ChangeUndecided>;

// An answer of the platform, or how it failed.
using PlatformReply = std::variant<base::PlatformAnswer, base::PlatformFailure>;

// One change of the configuration as an operator makes it: reads the head,
// stores the document, moves the head by compare-and-swap. Asks the platform
// one question at a time; a lost answer is settled by the change's own id.
class ConfigurationChange {
 public:
  // `change` is unique; `expected` is the revision the operator saw, if any.
  ConfigurationChange(std::string document,
                      std::string change,
                      std::optional<base::Revision> expected);

  // The question to ask next; empty once there is an outcome.
  std::optional<base::PlatformRequest> NextRequest() const;
  void HandleReply(const PlatformReply& reply);

  const std::optional<ChangeOutcome>& outcome() const { return outcome_; }

 private:
  enum class Stage { kReadingHead, kStoring, kMoving };

  void HandleHead(const PlatformReply& reply);
  void HandleStored(const PlatformReply& reply);
  void HandleMoved(const PlatformReply& reply);
  void CountFailure(const PlatformReply& reply);

  std::string document_;
  std::optional<base::Revision> expected_;
  Stage stage_ = Stage::kReadingHead;
  base::RowVersion seen_version_ = base::RowVersion::kAbsent;
  ConfigurationHead next_;
  int failures_ = 0;
  // A write of the head may have taken effect, or may yet.
  bool may_have_moved_ = false;
  std::optional<ChangeOutcome> outcome_;
};

}  // namespace bilberry::membership
