#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/feed_row.h"
#include "LibForward/store_sync_messages.h"

namespace bilberry::forward {

// The endpoints that the store lists. Entries that vanish while the store can't
// be read may have lapsed there: they hold until the store has been back for
// long enough that a living endpoint would be listed again.
class EndpointDirectory {
 public:
  // True when something has changed.
  bool Apply(bool is_whole,
             const std::vector<FeedRow>& rows,
             base::TimePoint now);

  void NoteStoreLost();
  void NoteStoreBack(base::TimePoint now);

  // Takes out what has been missing for too long; true when something was.
  bool DropMissing(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // An answer said that this life of the endpoint leaves. Holds whatever its
  // entry says, also while it has none; another life is not concerned. Where
  // entries don't tell their life, a new one begins with a new entry. False
  // when that is known.
  bool NoteLeaving(const base::EndpointName& name,
                   base::Incarnation incarnation,
                   base::TimePoint now);
  // The same by a peer's word, if that is recent and tells which life it is of.
  bool NoteLeavingByPeer(const EndpointDeparture& departure,
                         base::TimePoint now);
  // What peers are to be told: what was said lately by a life that is known.
  std::vector<EndpointDeparture> RecentDepartures(base::TimePoint now) const;

  // Whether this life of the endpoint is listed.
  bool Lists(const ListedEndpoint& endpoint) const;
  // Those that are known to leave have that state.
  std::vector<ListedEndpoint> endpoints() const;
  bool is_empty() const { return endpoints_.empty(); }

 private:
  struct Departure {
    base::Incarnation incarnation{};
    base::TimePoint said;
  };

  bool NoteRemoved(const base::EndpointName& name, base::TimePoint now);
  // True when it was listed.
  bool Erase(const base::EndpointName& name);
  bool IsKnownToLeave(const ListedEndpoint& endpoint) const;

  std::map<base::EndpointName, ListedEndpoint> endpoints_;
  // By their own word, at this host or at a peer.
  std::map<base::EndpointName, Departure> leaving_;
  std::set<base::EndpointName> missing_;
  bool is_store_lost_ = false;
  base::TimePoint trusted_from_;  // Removals count at once from then on.
};

}  // namespace bilberry::forward
