#include "LibPolicy/peer_loads.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr std::chrono::seconds kStaleAfter{3};
// Smooths the reports: hosts that all react at once to the latest figure would
// oscillate together.
constexpr double kReportWeight = 0.5;

}  // namespace

void PeerLoads::Note(const base::HostName& peer,
                     uint32_t in_flight,
                     base::TimePoint now) {
  const auto [it, is_new] = reports_.try_emplace(peer);
  Report& report = it->second;
  const double weight = is_new ? 1.0 : kReportWeight;
  report.in_flight += weight * (in_flight - report.in_flight);
  report.received_at = now;
  Recount(now);
}

void PeerLoads::Expire(base::TimePoint now) {
  if (now >= next_expiry_)
    Recount(now);
}

void PeerLoads::Recount(base::TimePoint now) {
  std::erase_if(reports_, [now](const auto& it) {
    return now - it.second.received_at >= kStaleAfter;
  });
  in_flight_ = 0;
  next_expiry_ = base::TimePoint::max();
  for (const auto& [peer, report] : reports_) {
    in_flight_ += report.in_flight;
    next_expiry_ = std::min(next_expiry_, report.received_at + kStaleAfter);
  }
}

}  // namespace bilberry::policy
