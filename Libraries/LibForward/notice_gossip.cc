#include "LibForward/notice_gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberry::forward {

namespace {

// What is heard meanwhile is told together.
constexpr std::chrono::milliseconds kTellInterval{100};
constexpr size_t kMostUntold = 200;
// An end that is later by less isn't told again.
constexpr std::chrono::milliseconds kWorthTelling{250};

}  // namespace

void NoticeGossip::Handle(const EndpointNoticeReceived& event,
                          base::TimePoint now) {
  if (event.notice.is_leaving)
    NoteLeaving(event, now);
  if (event.notice.retry_after)
    NoteQuiet(event, *event.notice.retry_after, now);
}

void NoticeGossip::NoteLeaving(const EndpointNoticeReceived& event,
                               base::TimePoint now) {
  if (!store_.NoteLeaving(event.endpoint, event.incarnation, now))
    return;
  context_.LogLeaving(event.endpoint, event.incarnation, "answer");
  NoticeBatch notices;
  notices.departures.push_back(
      {event.endpoint, event.incarnation, base::Duration(0)});
  TellLater(std::move(notices), now);
}

void NoticeGossip::NoteQuiet(const EndpointNoticeReceived& event,
                             base::Duration lasts,
                             base::TimePoint now) {
  EndpointBackoffs& times = context_.conditions().backoffs;
  const base::TimePoint known =
      times.LastEndOf(event.endpoint, event.incarnation);
  const base::TimePoint until = now + lasts;
  if (!times.Note(event.endpoint, event.incarnation, until, now))
    return;
  context_.LogQuiet(event.endpoint, lasts, "answer");
  if (until < std::max(known, now) + kWorthTelling)
    return;
  NoticeBatch notices;
  notices.backoffs.push_back(
      {event.endpoint, event.incarnation, lasts, base::Duration(0)});
  TellLater(std::move(notices), now);
}

// A word that doesn't tell the life could be of an earlier one.
void NoticeGossip::TellLater(NoticeBatch notices, base::TimePoint now) {
  const auto has_no_life = [](const auto& it) {
    return it.incarnation == base::Incarnation{};
  };
  std::erase_if(notices.departures, has_no_life);
  std::erase_if(notices.backoffs, has_no_life);
  if (!notices.is_empty() && untold_.size() < kMostUntold)
    untold_.push_back({std::move(notices), now});
}

void NoticeGossip::TakeReports(const NoticeBatch& notices,
                               base::TimePoint now) {
  store_.TakeDepartures(notices.departures, now);
  for (const BackoffReport& it : notices.backoffs) {
    if (context_.conditions().backoffs.NoteByPeer(it, now))
      context_.LogQuiet(it.endpoint, it.lasts - it.age, "peer");
  }
}

void NoticeGossip::Tell(base::TimePoint now) {
  if (untold_.empty() || now < next_telling_)
    return;
  next_telling_ = now + kTellInterval;
  NoticeBatch all;
  for (const Heard& heard : std::exchange(untold_, {})) {
    for (EndpointDeparture it : heard.notices.departures) {
      it.age = now - heard.at;
      all.departures.push_back(std::move(it));
    }
    for (BackoffReport it : heard.notices.backoffs) {
      it.age = now - heard.at;
      all.backoffs.push_back(std::move(it));
    }
  }
  for (const PeerHost& it : peers_.store_sync_sources())
    context_.Emit(SendNoticesToPeer{it.address, all});
}

std::optional<base::TimePoint> NoticeGossip::NextWakeup() const {
  if (untold_.empty())
    return std::nullopt;
  return next_telling_;
}

}  // namespace bilberry::forward
