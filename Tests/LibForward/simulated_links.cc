#include "LibForward/simulated_links.h"

#include <algorithm>
#include <limits>

namespace bilberry::forward {

namespace {

// 1 Mbit/s in bytes for each millisecond.
constexpr double kBytesPerMillisecond = 1e6 / 8 / 1000;

}  // namespace

void SimulatedLinks::LimitTransfersFrom(size_t node, double mbps) {
  transfer_mbps_[node] = mbps;
}

TransferId SimulatedLinks::Begin(size_t from, size_t to, size_t bytes) {
  const TransferId id{++last_id_};
  transfers_[id] = {from, to, static_cast<double>(bytes)};
  return id;
}

void SimulatedLinks::Advance(std::chrono::milliseconds time) {
  std::vector<double> outgoing(mbps_.size());
  std::vector<double> incoming(mbps_.size());
  for (const auto& [id, it] : transfers_) {
    if (!IsMoving(it))
      continue;
    ++outgoing[it.from];
    ++incoming[it.to];
  }
  for (auto& [id, it] : transfers_) {
    if (!IsMoving(it)) {
      it.silence += time;
      continue;
    }
    const auto limit = transfer_mbps_.find(it.from);
    const double mbps = std::min(
        {mbps_[it.from] / outgoing[it.from], mbps_[it.to] / incoming[it.to],
         limit == transfer_mbps_.end() ? std::numeric_limits<double>::infinity()
                                       : limit->second});
    const double moved =
        std::min(it.left_bytes, mbps * kBytesPerMillisecond *
                                    static_cast<double>(time.count()));
    it.left_bytes -= moved;
    it.silence = std::chrono::milliseconds(0);
    received_bytes_[it.to] += moved;
  }
}

}  // namespace bilberry::forward
