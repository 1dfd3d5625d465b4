#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/permit.h"

namespace bilberry::forward {

// The limits that this host keeps: grants permits one after the other at each
// limit's pace. Nothing is saved up while nobody asks. Pure: time is passed in.
class PermitIssuer {
 public:
  struct Wish {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    double per_second = 0;
    base::Duration longest_wait{};
    // Of an endpoint that is new here, no permit begins before; what an earlier
    // keeper granted is over by then.
    base::TimePoint first_begins;
  };

  PermitDecision Ask(const Wish& wish, base::TimePoint now);

  bool Keeps(const base::EndpointName& endpoint) const {
    return kept_.contains(endpoint);
  }
  // Forgets the limits that this host keeps no longer; returns their endpoints.
  std::vector<base::EndpointName> Drop(
      const std::function<bool(const base::EndpointName&)>& is_lost);

 private:
  struct Kept {
    base::Incarnation incarnation{};
    base::TimePoint first_begins;
    std::optional<base::TimePoint> last_begins;  // Of those granted.
  };

  std::map<base::EndpointName, Kept> kept_;
};

// Between two permits; the longest there is for a limit of nothing at all, so
// that its end can be heard.
base::Duration PermitInterval(double per_second);

}  // namespace bilberry::forward
