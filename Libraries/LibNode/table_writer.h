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

// Identifies a write submitted to a TableWriter.
enum class WriteTicket : uint64_t {};

// How a write ended: with a result or a failure.
struct WriteEnded {
  WriteTicket ticket{};
  std::optional<base::TableWriteResult> result;
  base::PlatformFailure failure = base::PlatformFailure::kUnknown;
};

// Group commit: under sustained load, one transaction carries the writes of
// kGroupInterval. After a pause, a write is sent with the next Flush().
class TableWriter {
 public:
  // Interval of transactions under sustained load.
  static constexpr std::chrono::milliseconds kGroupInterval{25};
  // Transactions that may be sent at once after a pause.
  static constexpr uint32_t kMaxBurst = 4;
  static constexpr size_t kMaxWritesPerTransaction = 128;
  static constexpr std::chrono::milliseconds kTimeout{250};

  explicit TableWriter(NodeContext& context) : context_(context) {}

  WriteTicket Submit(base::TableWrite write);
  // Withdraws a write; false when it may have been sent already.
  bool Withdraw(WriteTicket ticket);

  // Sends the waiting writes as far as the rate limit allows.
  void Flush(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Empty when the operation does not belong to this writer.
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
  uint32_t transaction_credit_ = kMaxBurst;
  base::TimePoint refilled_;
};

}  // namespace bilberry::node
