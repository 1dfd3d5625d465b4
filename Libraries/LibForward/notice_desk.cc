#include "LibForward/notice_desk.h"

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

void NoticeDesk::Handle(const EndpointNoticed& event, base::TimePoint now) {
  if (event.notice.is_leaving)
    NoteLeaving(event, now);
  if (event.notice.retry_after)
    NoteQuiet(event, *event.notice.retry_after, now);
}

void NoticeDesk::NoteLeaving(const EndpointNoticed& event,
                             base::TimePoint now) {
  if (!store_.NoteLeaving(event.endpoint, event.incarnation, now))
    return;
  context_.LogLeaving(event.endpoint, event.incarnation, "answer");
  ToldNotices notices;
  notices.departures.push_back(
      {event.endpoint, event.incarnation, base::Duration(0)});
  TellLater(std::move(notices), now);
}

void NoticeDesk::NoteQuiet(const EndpointNoticed& event,
                           base::Duration lasts,
                           base::TimePoint now) {
  QuietTimes& times = context_.words().quiet_times;
  const base::TimePoint known =
      times.LastEndOf(event.endpoint, event.incarnation);
  const base::TimePoint until = now + lasts;
  if (!times.Note(event.endpoint, event.incarnation, until, now))
    return;
  context_.LogQuiet(event.endpoint, lasts, "answer");
  if (until < std::max(known, now) + kWorthTelling)
    return;
  ToldNotices notices;
  notices.quiet_times.push_back(
      {event.endpoint, event.incarnation, lasts, base::Duration(0)});
  TellLater(std::move(notices), now);
}

// A word that doesn't tell the life could be of an earlier one.
void NoticeDesk::TellLater(ToldNotices notices, base::TimePoint now) {
  const auto has_no_life = [](const auto& it) {
    return it.incarnation == base::Incarnation{};
  };
  std::erase_if(notices.departures, has_no_life);
  std::erase_if(notices.quiet_times, has_no_life);
  if (!notices.is_empty() && untold_.size() < kMostUntold)
    untold_.push_back({std::move(notices), now});
}

void NoticeDesk::TakeWords(const ToldNotices& notices, base::TimePoint now) {
  store_.TakeDepartures(notices.departures, now);
  for (const ToldQuietTime& it : notices.quiet_times) {
    if (context_.words().quiet_times.NoteByPeer(it, now))
      context_.LogQuiet(it.endpoint, it.lasts - it.age, "peer");
  }
}

void NoticeDesk::Tell(base::TimePoint now) {
  if (untold_.empty() || now < next_telling_)
    return;
  next_telling_ = now + kTellInterval;
  ToldNotices all;
  for (const Heard& heard : std::exchange(untold_, {})) {
    for (EndpointDeparture it : heard.notices.departures) {
      it.age = now - heard.at;
      all.departures.push_back(std::move(it));
    }
    for (ToldQuietTime it : heard.notices.quiet_times) {
      it.age = now - heard.at;
      all.quiet_times.push_back(std::move(it));
    }
  }
  for (const PeerHost& it : peers_.news_hosts())
    context_.Emit(TellNotices{it.address, all});
}

std::optional<base::TimePoint> NoticeDesk::NextWakeup() const {
  if (untold_.empty())
    return std::nullopt;
  return next_telling_;
}

}  // namespace bilberry::forward
