#include "LibMembership/configuration_change.h"

#include <utility>

namespace bilberry::membership {

namespace {

constexpr int kTriesOfEachStep = 5;

std::string NumberOf(base::Revision revision) {
  return std::to_string(static_cast<uint64_t>(revision));
}

template <typename Answer>
const Answer* AnswerOf(const PlatformReply& reply) {
  const auto* answer = std::get_if<base::PlatformAnswer>(&reply);
  return answer == nullptr ? nullptr : std::get_if<Answer>(answer);
}

}  // namespace

ConfigurationChange::ConfigurationChange(std::string document,
                                         std::string change,
                                         std::optional<base::Revision> expected)
    : document_(std::move(document)), expected_(expected) {
  next_.change = std::move(change);
}

std::optional<base::PlatformRequest> ConfigurationChange::NextRequest() const {
  if (outcome_)
    return std::nullopt;
  const std::string key(kConfigurationHeadKey);
  if (stage_ == Stage::kReadingHead)
    return base::ReadRow{key};
  if (stage_ == Stage::kStoring)
    return base::StoreObject{next_.object, document_};
  return base::WriteRows{{{key, seen_version_, SerializeHead(next_)}}};
}

void ConfigurationChange::HandleReply(const PlatformReply& reply) {
  if (outcome_)
    return;
  if (stage_ == Stage::kReadingHead)
    HandleHead(reply);
  else if (stage_ == Stage::kStoring)
    HandleStored(reply);
  else
    HandleMoved(reply);
}

void ConfigurationChange::CountFailure(const PlatformReply& reply) {
  const auto* failure = std::get_if<base::PlatformFailure>(&reply);
  const bool is_without_effect =
      failure != nullptr && *failure == base::PlatformFailure::kNotSent;
  if (stage_ == Stage::kMoving && !is_without_effect)
    may_have_moved_ = true;
  if (++failures_ < kTriesOfEachStep)
    return;
  if (may_have_moved_)
    outcome_ = ChangeUndecided{next_.change};
  else
    outcome_ = ChangeNotApplied{"the platform does not answer"};
}

void ConfigurationChange::HandleHead(const PlatformReply& reply) {
  const auto* read = AnswerOf<base::RowRead>(reply);
  if (read == nullptr) {
    CountFailure(reply);
    return;
  }
  ConfigurationHead seen;
  // Not modified since "absent" means that there is no row.
  if (read->row && read->row->version != base::RowVersion::kAbsent) {
    auto parsed = ParseHead(read->row->value);
    if (!parsed) {
      outcome_ = ChangeNotApplied{ToText(parsed.error())};
      return;
    }
    seen = std::move(parsed.value());
    seen_version_ = read->row->version;
  }
  if (expected_ && *expected_ != seen.revision) {
    outcome_ = ChangeOutdated{seen.revision};
    return;
  }
  next_.revision = base::Revision{static_cast<uint64_t>(seen.revision) + 1};
  next_.object =
      "configuration/" + NumberOf(next_.revision) + "-" + next_.change;
  stage_ = Stage::kStoring;
  failures_ = 0;
}

// Storing is idempotent: the object's name is this change's own.
void ConfigurationChange::HandleStored(const PlatformReply& reply) {
  if (AnswerOf<base::ObjectStored>(reply) == nullptr) {
    CountFailure(reply);
    return;
  }
  stage_ = Stage::kMoving;
  failures_ = 0;
}

void ConfigurationChange::HandleMoved(const PlatformReply& reply) {
  const auto* written = AnswerOf<base::RowsWritten>(reply);
  if (written == nullptr || written->results.empty()) {
    CountFailure(reply);
    return;
  }
  const base::TableWriteResult& result = written->results.front();
  const auto present = ParseHead(result.row.value);
  if (result.was_applied || (present && present.value() == next_)) {
    outcome_ = ChangeAccepted{next_.revision};
    return;
  }
  // Should an earlier try have taken effect and another change have followed
  // already, the row no longer tells.
  const base::Revision in_force =
      present ? present.value().revision : base::Revision{};
  if (may_have_moved_ && in_force > next_.revision)
    outcome_ = ChangeUndecided{next_.change};
  else
    outcome_ = ChangeConflicted{in_force};
}

}  // namespace bilberry::membership
