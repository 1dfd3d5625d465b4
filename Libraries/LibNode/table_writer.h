#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"

namespace bilberry::node {

// One write handed to a TableWriter.
enum class WriteTicket : uint64_t {};

// How one write ended: with a result or a failure.
struct WriteEnded {
  WriteTicket ticket{};
  std::optional<base::TableWriteResult> result;
  base::PlatformFailure failure = base::PlatformFailure::kUnknown;
};

// Group commit: one transaction carries the writes of a few milliseconds. A
// lone write goes out at once.
class TableWriter {
 public:
  // At a steady load there is one transaction in this time.
  static constexpr std::chrono::milliseconds kGroupInterval{25};
  // Transactions that may go out at once after a pause.
  static constexpr uint32_t kMaxBurst = 4;
  static constexpr size_t kMaxWritesPerTransaction = 128;
  static constexpr std::chrono::milliseconds kTimeout{250};

  explicit TableWriter(NodeContext& context) : context_(context) {}

  WriteTicket Submit(base::TableWrite write);
  // Takes a write back; false when it may have been sent.
  bool Withdraw(WriteTicket ticket);

  // Sends what is due.
  void Flush(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Empty when the operation isn't one of this writer's.
  std::optional<std::vector<WriteEnded>> HandleAnswered(
      const PlatformAnswered& event);
  std::optional<std::vector<WriteEnded>> HandleFailed(
      const PlatformFailed& event);

 private:
  struct Waiting {
    WriteTicket ticket{};
    base::TableWrite write;
  };

  void Refill(base::TimePoint now);
  void SendTransaction();

  NodeContext& context_;
  uint64_t last_ticket_ = 0;
  std::vector<Waiting> waiting_;
  std::unordered_map<base::OperationId, std::vector<WriteTicket>> sent_;
  uint32_t credit_ = kMaxBurst;
  base::TimePoint refilled_;
};

}  // namespace bilberry::node
