#pragma once

#include <optional>
#include <vector>

#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/peer_directory.h"
#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {

// Applies the notices of endpoints, received in answers to this host or
// reported by peers, except for rate limits. Gossips to peers the notices that
// this host was the first to receive, and the crashes that it was the first to
// see; relays pass them on to the rest of a large fleet.
class NoticeGossip {
 public:
  NoticeGossip(ForwardContext& context,
               StoreSynchronizer& store,
               PeerDirectory& peers)
      : context_(context), store_(store), peers_(peers) {}

  void Handle(const EndpointNoticeReceived& event, base::TimePoint now);
  void ApplyReports(const NoticeBatch& notices, base::TimePoint now);

  // Sends the queued notices to peers if the interval since the last batch is
  // over.
  void SendDue(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // Notices queued for peers, with their ages as of `at`.
  struct QueuedNotices {
    NoticeBatch notices;
    base::TimePoint at;
  };

  void NoteLeaving(const EndpointNoticeReceived& event, base::TimePoint now);
  void NoteBackoff(const EndpointNoticeReceived& event,
                   base::Duration lasts,
                   base::TimePoint now);
  void Enqueue(NoticeBatch notices, base::TimePoint now);
  void EnqueueCrashNews(base::TimePoint now);

  ForwardContext& context_;
  StoreSynchronizer& store_;
  PeerDirectory& peers_;
  std::vector<QueuedNotices> queue_;
  base::TimePoint next_send_;
  base::TimePoint next_repeat_;
};

}  // namespace bilberry::forward
