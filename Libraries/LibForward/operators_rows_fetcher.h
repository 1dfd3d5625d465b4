#pragma once

#include <cstdint>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/store_sync_messages.h"

namespace bilberry::forward {

// Decides when this host asks a peer for the operators' rows, the configuration
// above all. Polls of peers only tell how new a peer's rows are, because a
// configuration may be far larger than all else that they tell. One
// configuration is on its way to this host at a time, so that copies don't
// compete for its link: the store's own answer if it has begun, else a peer's.
class OperatorsRowsFetcher {
 public:
  // This host's own call to the store for the operators' rows.
  struct StoreCall {
    bool is_failing = false;
    bool is_answering = false;  // The answer is arriving.
    base::TimePoint began;
  };

  // A peer has rows of this age, this host those of `known`. Returns whether
  // this host has begun to lack some.
  bool NoteOffered(const base::SocketAddress& peer,
                   const OperatorsRowsAge& age,
                   const OperatorsRowsAge& known,
                   base::TimePoint now);
  // Returns the peer to ask now, if any. The caller reports the end of the call
  // by NoteEnded().
  std::optional<base::SocketAddress> TakeDue(const OperatorsRowsAge& known,
                                             const StoreCall& call,
                                             base::TimePoint now);
  // The peer that was asked has answered or failed. Another one is asked if
  // polls go on telling of newer rows.
  void NoteEnded() { is_fetching_ = false; }
  // Whether this host lacks rows that a peer has told of, and hasn't called the
  // store since. A store that has them answers such a call at once.
  bool is_store_to_be_asked() const { return lack_ && !lack_->is_store_asked; }
  void NoteStoreAsked();
  // Ages can't be compared with earlier ones any more.
  void BeginEra() { lack_.reset(); }

  std::optional<base::TimePoint> NextWakeup(const StoreCall& call) const;

 private:
  // Rows that this host lacks.
  struct Lack {
    OperatorsRowsAge newest;  // Of all that peers have told of.
    base::TimePoint since;
    // Tells of them, and hasn't been asked since.
    std::optional<base::SocketAddress> peer;
    bool is_store_asked = false;
  };

  void Update(const OperatorsRowsAge& known);
  // When the peer may be asked.
  base::TimePoint DueAt(const StoreCall& call) const;

  std::optional<Lack> lack_;
  bool is_fetching_ = false;
};

}  // namespace bilberry::forward
