#pragma once

#include <cstdint>
#include <vector>

#include "LibPolicy/concurrency_limit.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// One incarnation of an endpoint, as one entry host sees it.
class EndpointSlot {
 public:
  EndpointSlot(EndpointTarget target, uint32_t slots)
      : target_(std::move(target)), limit_(slots) {}

  const EndpointTarget& target() const { return target_; }
  uint32_t in_flight() const { return in_flight_; }
  ConcurrencyLimit& limit() { return limit_; }
  const ConcurrencyLimit& limit() const { return limit_; }

  void Begin() { ++in_flight_; }
  void End();

  // Notes what the endpoint said that it had, of all entry hosts.
  void NoteReport(uint32_t load, base::TimePoint now);

  // What other entry hosts have there: as reported, or else as their shares
  // make it probable.
  double OthersLoad(double peers_mean, base::TimePoint now) const;

 private:
  EndpointTarget target_;
  uint32_t in_flight_ = 0;
  ConcurrencyLimit limit_;
  double others_reported_ = 0;
  base::TimePoint trust_report_until_;
};

}  // namespace bilberry::policy
