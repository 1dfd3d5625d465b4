#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/placement.h"

namespace bilberry::forward {

// Collects reports to placement owners, so that each owner is sent a batch at
// most once per interval. Performs no I/O and reads no clock.
class PlacementReportQueue {
 public:
  void Add(const base::HostName& owner,
           const PlacementDomain& domain,
           RunReport report);
  // Drops the domain's reports that have not been sent.
  void Drop(const PlacementDomain& domain);
  // Removes and returns the reports that are due, with the hosts that they are
  // sent to.
  std::vector<std::pair<base::HostName, PlacementReport>> TakeDue(
      base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Batch {
    std::map<PlacementDomain, std::vector<RunReport>> reports;
    base::TimePoint next_send;
  };

  std::map<base::HostName, Batch> batches_;
};

}  // namespace bilberry::forward
