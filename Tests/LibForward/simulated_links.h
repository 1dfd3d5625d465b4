#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberry::forward {

enum class TransferId : uint64_t {};

// Transfers between nodes whose links have a bandwidth, in virtual time. The
// transfers of a link share it evenly.
class SimulatedLinks {
 public:
  // A node's bandwidth in either direction, in Mbit/s.
  explicit SimulatedLinks(std::vector<double> mbps) : mbps_(std::move(mbps)) {}

  // Bounds each transfer from this node by itself.
  void LimitTransfersFrom(size_t node, double mbps);

  TransferId Begin(size_t from, size_t to, size_t bytes);
  void Cancel(TransferId id) { transfers_.erase(id); }
  // Nothing of the transfer arrives any more.
  void Stall(TransferId id) { transfers_.at(id).is_stalled = true; }
  void Advance(std::chrono::milliseconds time);

  bool is_whole(TransferId id) const {
    return transfers_.at(id).left_bytes <= 0;
  }
  // For how long nothing of the transfer has arrived.
  std::chrono::milliseconds silence(TransferId id) const {
    return transfers_.at(id).silence;
  }
  // What a node has received so far, of broken-off transfers too.
  double received_bytes(size_t node) const { return received_bytes_.at(node); }

 private:
  struct Transfer {
    size_t from = 0;
    size_t to = 0;
    double left_bytes = 0;
    bool is_stalled = false;
    std::chrono::milliseconds silence{0};
  };

  bool IsMoving(const Transfer& transfer) const {
    return !transfer.is_stalled && transfer.left_bytes > 0;
  }

  std::vector<double> mbps_;
  std::map<size_t, double> transfer_mbps_;
  std::map<TransferId, Transfer> transfers_;
  std::vector<double> received_bytes_ = std::vector<double>(mbps_.size());
  uint64_t last_id_ = 0;
};

}  // namespace bilberry::forward
