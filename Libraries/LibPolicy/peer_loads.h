#pragma once

#include <map>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// What the other entry hosts have in flight at one pool, as last heard; what is
// stale counts no more.
class PeerLoads {
 public:
  void Note(const base::HostName& peer,
            uint32_t in_flight,
            base::TimePoint now);
  // Counts anew when something has become stale.
  void Expire(base::TimePoint now);

  double in_flight() const { return in_flight_; }
  size_t peer_count() const { return shares_.size(); }

 private:
  struct Share {
    double in_flight = 0;
    base::TimePoint heard;
  };

  void Recount(base::TimePoint now);

  std::map<base::HostName, Share> shares_;
  double in_flight_ = 0;
  base::TimePoint next_expiry_ = base::TimePoint::max();
};

}  // namespace bilberry::policy
