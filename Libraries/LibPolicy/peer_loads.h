#pragma once

#include <map>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// Requests in flight of the other entry hosts at one pool, as last reported.
// Reports expire when they are stale.
class PeerLoads {
 public:
  void Note(const base::HostName& peer,
            uint32_t in_flight,
            base::TimePoint now);
  // Drops stale reports and recomputes the sum when a report has expired.
  void Expire(base::TimePoint now);

  double in_flight() const { return in_flight_; }
  size_t peer_count() const { return reports_.size(); }

 private:
  struct Report {
    double in_flight = 0;
    base::TimePoint received_at;
  };

  void Recount(base::TimePoint now);

  std::map<base::HostName, Report> reports_;
  double in_flight_ = 0;
  base::TimePoint next_expiry_ = base::TimePoint::max();
};

}  // namespace bilberry::policy
