#pragma once

#include <optional>
#include <vector>

#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/peer_desk.h"
#include "LibForward/store_desk.h"

namespace bilberry::forward {

// What endpoints say of themselves, in answers to this host and to peers, but
// for their limits: takes it on, and tells peers what this host was the first
// to hear. Relays tell the rest of a large fleet.
class NoticeDesk {
 public:
  NoticeDesk(ForwardContext& context, StoreDesk& store, PeerDesk& peers)
      : context_(context), store_(store), peers_(peers) {}

  void Handle(const EndpointNoticed& event, base::TimePoint now);
  void TakeWords(const ToldNotices& notices, base::TimePoint now);

  // Tells what is to be told by now.
  void Tell(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // With ages as of when it was heard.
  struct Heard {
    ToldNotices notices;
    base::TimePoint at;
  };

  void NoteLeaving(const EndpointNoticed& event, base::TimePoint now);
  void NoteQuiet(const EndpointNoticed& event,
                 base::Duration lasts,
                 base::TimePoint now);
  void TellLater(ToldNotices notices, base::TimePoint now);

  ForwardContext& context_;
  StoreDesk& store_;
  PeerDesk& peers_;
  std::vector<Heard> untold_;
  base::TimePoint next_telling_;
};

}  // namespace bilberry::forward
