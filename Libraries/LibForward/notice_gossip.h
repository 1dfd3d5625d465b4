#pragma once

#include <optional>
#include <vector>

#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/peer_directory.h"
#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {

// What endpoints say of themselves, in answers to this host and to peers, but
// for their limits: takes it on, and tells peers what this host was the first
// to hear. Relays tell the rest of a large fleet.
class NoticeGossip {
 public:
  NoticeGossip(ForwardContext& context,
               StoreSynchronizer& store,
               PeerDirectory& peers)
      : context_(context), store_(store), peers_(peers) {}

  void Handle(const EndpointNoticeReceived& event, base::TimePoint now);
  void TakeReports(const NoticeBatch& notices, base::TimePoint now);

  // Tells what is to be told by now.
  void Tell(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // With ages as of when it was heard.
  struct Heard {
    NoticeBatch notices;
    base::TimePoint at;
  };

  void NoteLeaving(const EndpointNoticeReceived& event, base::TimePoint now);
  void NoteQuiet(const EndpointNoticeReceived& event,
                 base::Duration lasts,
                 base::TimePoint now);
  void TellLater(NoticeBatch notices, base::TimePoint now);

  ForwardContext& context_;
  StoreSynchronizer& store_;
  PeerDirectory& peers_;
  std::vector<Heard> untold_;
  base::TimePoint next_telling_;
};

}  // namespace bilberry::forward
