#include "LibPolicy/endpoint_slot.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr std::chrono::milliseconds kTrustReportFor{500};

}  // namespace

void EndpointSlot::End() {
  if (in_flight_ > 0)
    --in_flight_;
}

void EndpointSlot::NoteReport(uint32_t load, base::TimePoint now) {
  others_reported_ = std::max(0.0, static_cast<double>(load) - in_flight_);
  trust_report_until_ = now + kTrustReportFor;
}

double EndpointSlot::OthersLoad(double peers_mean, base::TimePoint now) const {
  return now < trust_report_until_ ? others_reported_ : peers_mean;
}

}  // namespace bilberry::policy
