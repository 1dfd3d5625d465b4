#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/feed_row.h"
#include "LibForward/store_sync_messages.h"

namespace bilberry::forward {

// The endpoints listed in the store. An entry that vanishes while the store is
// unreachable may only have expired there, so it is kept until the store has
// been reachable again for long enough that a living endpoint would be listed
// again.
class EndpointDirectory {
 public:
  // Applies rows of the endpoint table; with `is_whole`, endpoints without a
  // row are removed. Returns true if something has changed.
  bool Apply(bool is_whole,
             const std::vector<FeedRow>& rows,
             base::TimePoint now);

  void NoteStoreLost();
  void NoteStoreBack(base::TimePoint now);
  // The store has come back from an older copy, which may lack endpoints that
  // live.
  void NoteStoreRestored(base::TimePoint now);
  // Whether an entry in a restored store agrees with what is known. If not, it
  // may be that of an endpoint that has left or is leaving since.
  bool Confirms(const ListedEndpoint& entry) const;

  // Removes endpoints that were missing when the store came back and have not
  // been listed again since. Returns true if there were any.
  bool DropMissing(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Records that this incarnation of the endpoint announced its shutdown in an
  // answer. This takes precedence over the endpoint's entry, also while there
  // is no entry; other incarnations are unaffected. If entries don't tell the
  // incarnation, a new entry counts as a new incarnation. Returns false if the
  // departure was known.
  bool NoteLeaving(const base::EndpointName& name,
                   base::Incarnation incarnation,
                   base::TimePoint now);
  // Records a departure reported by a peer, if the report is recent and names
  // the incarnation. Returns false if it changes nothing.
  bool NoteLeavingByPeer(const EndpointDeparture& departure,
                         base::TimePoint now);
  // Returns the departures to report to peers: recent ones whose incarnation is
  // known.
  std::vector<EndpointDeparture> RecentDepartures(base::TimePoint now) const;

  // Whether this incarnation of the endpoint is listed.
  bool Lists(const ListedEndpoint& endpoint) const;
  // Returns all listed endpoints; those known to be leaving have the state
  // kLeaving.
  std::vector<ListedEndpoint> endpoints() const;
  bool is_empty() const { return endpoints_.empty(); }

 private:
  struct Departure {
    base::Incarnation incarnation{};
    base::TimePoint announced;
  };

  bool NoteRemoved(const base::EndpointName& name, base::TimePoint now);
  // Returns true if the endpoint was listed.
  bool Erase(const base::EndpointName& name);
  bool IsKnownToLeave(const ListedEndpoint& endpoint) const;

  std::map<base::EndpointName, ListedEndpoint> endpoints_;
  // Endpoints that announced their shutdown, to this host or to a peer.
  std::map<base::EndpointName, Departure> leaving_;
  std::set<base::EndpointName> missing_;
  bool is_store_lost_ = false;
  // Removals take effect at once from this time on.
  base::TimePoint trusted_from_;
};

}  // namespace bilberry::forward
