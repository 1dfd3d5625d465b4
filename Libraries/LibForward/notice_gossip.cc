#include "LibForward/notice_gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberry::forward {

namespace {

// Notices received within this interval are sent as one batch.
constexpr std::chrono::milliseconds kBatchInterval{100};
constexpr size_t kMaxQueued = 200;
// A backoff that extends the known one by less than this isn't gossiped again.
constexpr std::chrono::milliseconds kMinExtension{250};
// Interval at which known crashes are told again, for hosts that were cut off
// or have started since.
constexpr std::chrono::seconds kRepeatInterval{2};

}  // namespace

void NoticeGossip::Handle(const EndpointNoticeReceived& event,
                          base::TimePoint now) {
  if (event.notice.is_leaving)
    NoteLeaving(event, now);
  if (event.notice.retry_after)
    NoteBackoff(event, *event.notice.retry_after, now);
}

void NoticeGossip::NoteLeaving(const EndpointNoticeReceived& event,
                               base::TimePoint now) {
  if (!store_.NoteLeaving(event.endpoint, event.incarnation, now))
    return;
  context_.LogLeaving(event.endpoint, event.incarnation, "answer");
  NoticeBatch notices;
  notices.departures.push_back(
      {event.endpoint, event.incarnation, base::Duration(0)});
  Enqueue(std::move(notices), now);
}

void NoticeGossip::NoteBackoff(const EndpointNoticeReceived& event,
                               base::Duration lasts,
                               base::TimePoint now) {
  EndpointBackoffs& backoffs = context_.conditions().backoffs;
  const base::TimePoint known =
      backoffs.LastEndOf(event.endpoint, event.incarnation);
  const base::TimePoint until = now + lasts;
  if (!backoffs.Note(event.endpoint, event.incarnation, until, now))
    return;
  context_.LogBackoff(event.endpoint, lasts, "answer");
  if (until < std::max(known, now) + kMinExtension)
    return;
  NoticeBatch notices;
  notices.backoffs.push_back(
      {event.endpoint, event.incarnation, lasts, base::Duration(0)});
  Enqueue(std::move(notices), now);
}

// Notices without an incarnation are not gossiped, since they may concern an
// earlier one.
void NoticeGossip::Enqueue(NoticeBatch notices, base::TimePoint now) {
  const auto has_no_incarnation = [](const auto& it) {
    return it.incarnation == base::Incarnation{};
  };
  std::erase_if(notices.departures, has_no_incarnation);
  std::erase_if(notices.backoffs, has_no_incarnation);
  if (!notices.is_empty() && queue_.size() < kMaxQueued)
    queue_.push_back({std::move(notices), now});
}

void NoticeGossip::EnqueueCrashNews(base::TimePoint now) {
  CrashTracker& crashes = context_.conditions().crashes;
  NoticeBatch news;
  news.crashes = crashes.TakeNews();
  Enqueue(std::move(news), now);
  if (!crashes.knows_crashes() || now < next_repeat_ ||
      !peers_.is_store_sync_source())
    return;
  next_repeat_ = now + kRepeatInterval;
  NoticeBatch repeated;
  repeated.crashes = crashes.NewsToRepeat(now);
  Enqueue(std::move(repeated), now);
}

void NoticeGossip::ApplyReports(const NoticeBatch& notices,
                                base::TimePoint now) {
  context_.conditions().crashes.Apply(notices.crashes, now);
  store_.ApplyDepartures(notices.departures, now);
  for (const BackoffReport& it : notices.backoffs) {
    if (context_.conditions().backoffs.NoteByPeer(it, now))
      context_.LogBackoff(it.endpoint, it.lasts - it.age, "peer");
  }
}

void NoticeGossip::SendDue(base::TimePoint now) {
  EnqueueCrashNews(now);
  if (queue_.empty() || now < next_send_)
    return;
  next_send_ = now + kBatchInterval;
  NoticeBatch all;
  for (const QueuedNotices& queued : std::exchange(queue_, {})) {
    for (EndpointDeparture it : queued.notices.departures) {
      it.age = now - queued.at;
      all.departures.push_back(std::move(it));
    }
    for (BackoffReport it : queued.notices.backoffs) {
      it.age = now - queued.at;
      all.backoffs.push_back(std::move(it));
    }
    CrashNews crashes = queued.notices.crashes;
    for (policy::CrashSuspicion& it : crashes.suspicions) {
      it.age += now - queued.at;
      all.crashes.suspicions.push_back(std::move(it));
    }
    std::ranges::move(crashes.cleared, std::back_inserter(all.crashes.cleared));
    for (PartAnswer& it : crashes.answered) {
      it.age += now - queued.at;
      all.crashes.answered.push_back(std::move(it));
    }
  }
  for (const PeerHost& it : peers_.store_sync_sources())
    context_.Emit(SendNoticesToPeer{it.address, all});
}

std::optional<base::TimePoint> NoticeGossip::NextWakeup() const {
  if (!queue_.empty())
    return next_send_;
  if (context_.conditions().crashes.knows_crashes() &&
      peers_.is_store_sync_source())
    return next_repeat_;
  return std::nullopt;
}

}  // namespace bilberry::forward
