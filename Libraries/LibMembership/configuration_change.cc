#include "LibMembership/configuration_change.h"

#include <utility>

namespace bilberry::membership {

namespace {

constexpr int kMaxAttemptsPerStep = 5;

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
  if (step_ == Step::kReadingHead)
    return base::ReadRow{key};
  if (step_ == Step::kStoring)
    return base::StoreObject{next_.object, document_};
  return base::WriteRows{{{key, seen_version_, SerializeHead(next_)}}};
}

void ConfigurationChange::HandleReply(const PlatformReply& reply) {
  if (outcome_)
    return;
  if (step_ == Step::kReadingHead)
    HandleHead(reply);
  else if (step_ == Step::kStoring)
    HandleStored(reply);
  else
    HandleHeadMoved(reply);
}

void ConfigurationChange::CountFailure(const PlatformReply& reply) {
  const auto* failure = std::get_if<base::PlatformFailure>(&reply);
  const bool is_without_effect =
      failure != nullptr && *failure == base::PlatformFailure::kNotSent;
  if (step_ == Step::kMovingHead && !is_without_effect)
    may_have_moved_head_ = true;
  if (++failures_ < kMaxAttemptsPerStep)
    return;
  if (may_have_moved_head_)
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
  // "Not modified" in answer to a read that expects no row means that there is
  // no row.
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
  step_ = Step::kStoring;
  failures_ = 0;
}

// Storing is idempotent, since the object's name is unique to this change.
void ConfigurationChange::HandleStored(const PlatformReply& reply) {
  if (AnswerOf<base::ObjectStored>(reply) == nullptr) {
    CountFailure(reply);
    return;
  }
  step_ = Step::kMovingHead;
  failures_ = 0;
}

void ConfigurationChange::HandleHeadMoved(const PlatformReply& reply) {
  const auto* written = AnswerOf<base::RowsWritten>(reply);
  if (written == nullptr || written->results.empty()) {
    CountFailure(reply);
    return;
  }
  const base::TableWriteResult& result = written->results.front();
  const auto current = ParseHead(result.row.value);
  if (result.was_applied || (current && current.value() == next_)) {
    outcome_ = ChangeAccepted{next_.revision};
    return;
  }
  // If an earlier write took effect and another change followed it, the row no
  // longer shows this change.
  const base::Revision in_force =
      current ? current.value().revision : base::Revision{};
  if (may_have_moved_head_ && in_force > next_.revision)
    outcome_ = ChangeUndecided{next_.change};
  else
    outcome_ = ChangeConflicted{in_force};
}

}  // namespace bilberry::membership
