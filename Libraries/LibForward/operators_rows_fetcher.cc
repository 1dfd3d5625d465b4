#include "LibForward/operators_rows_fetcher.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// The store answers all hosts at about the same time, so its answer to this one
// has probably begun its way when a peer is the first to tell of new rows.
constexpr std::chrono::milliseconds kStoreHeadStart{100};

}  // namespace

void OperatorsRowsFetcher::Update(const OperatorsRowsAge& known) {
  if (lack_ && !lack_->newest.IsNewerThan(known))
    lack_.reset();
}

bool OperatorsRowsFetcher::NoteOffered(const base::SocketAddress& peer,
                                       const OperatorsRowsAge& age,
                                       const OperatorsRowsAge& known,
                                       base::TimePoint now) {
  Update(known);
  if (!age.IsNewerThan(known))
    return false;
  if (!lack_) {
    lack_ = {age, now, peer, false};
    return true;
  }
  lack_->newest = {std::max(lack_->newest.revision, age.revision),
                   std::max(lack_->newest.version, age.version)};
  lack_->peer = peer;
  return false;
}

void OperatorsRowsFetcher::NoteStoreAsked() {
  if (lack_)
    lack_->is_store_asked = true;
}

std::optional<base::SocketAddress> OperatorsRowsFetcher::TakeDue(
    const OperatorsRowsAge& known,
    const StoreCall& call,
    base::TimePoint now) {
  Update(known);
  const auto due = NextWakeup(call);
  if (!due || now < *due)
    return std::nullopt;
  is_fetching_ = true;
  return std::exchange(lack_->peer, std::nullopt);
}

base::TimePoint OperatorsRowsFetcher::DueAt(const StoreCall& call) const {
  if (call.is_failing)
    return lack_->since;
  return std::max(lack_->since, call.began) + kStoreHeadStart;
}

std::optional<base::TimePoint> OperatorsRowsFetcher::NextWakeup(
    const StoreCall& call) const {
  if (!lack_ || !lack_->peer || is_fetching_ || call.is_answering)
    return std::nullopt;
  return DueAt(call);
}

}  // namespace bilberry::forward
