#include "LibNode/table_writer.h"

#include <algorithm>
#include <utility>

namespace bilberry::node {

WriteTicket TableWriter::Submit(base::TableWrite write) {
  const WriteTicket ticket{++last_ticket_};
  waiting_.push_back({ticket, std::move(write)});
  return ticket;
}

bool TableWriter::Withdraw(WriteTicket ticket) {
  return std::erase_if(waiting_, [ticket](const Waiting& it) {
           return it.ticket == ticket;
         }) > 0;
}

void TableWriter::Refill(base::TimePoint now) {
  const auto earned = (now - refilled_) / kGroupInterval;
  if (earned <= 0)
    return;
  refilled_ += earned * kGroupInterval;
  transaction_credit_ = static_cast<uint32_t>(
      std::min<int64_t>(kMaxBurst, int64_t{transaction_credit_} + earned));
}

void TableWriter::Flush(base::TimePoint now) {
  Refill(now);
  while (!waiting_.empty() && transaction_credit_ > 0) {
    --transaction_credit_;
    SendTransaction();
  }
}

void TableWriter::SendTransaction() {
  const size_t count = std::min(waiting_.size(), kMaxWritesPerTransaction);
  const base::OperationId operation = context_.NextOperation();
  base::WriteRows request;
  std::vector<WriteTicket>& tickets = sent_[operation];
  for (size_t i = 0; i < count; ++i) {
    tickets.push_back(waiting_[i].ticket);
    request.writes.push_back(std::move(waiting_[i].write));
  }
  waiting_.erase(waiting_.begin(),
                 waiting_.begin() + static_cast<ptrdiff_t>(count));
  context_.Emit(SendToPlatform{operation, std::move(request), kTimeout});
}

std::optional<base::TimePoint> TableWriter::NextWakeup() const {
  if (waiting_.empty())
    return std::nullopt;
  return refilled_ + kGroupInterval;
}

std::optional<std::vector<WriteEnded>> TableWriter::HandleAnswered(
    const PlatformAnswered& event) {
  const auto it = sent_.find(event.operation);
  if (it == sent_.end())
    return std::nullopt;
  const auto* written = std::get_if<base::RowsWritten>(&event.answer);
  // An answer with another number of results than writes says nothing about
  // their outcome.
  if (written == nullptr || written->results.size() != it->second.size())
    return HandleFailed({event.operation, base::PlatformFailure::kUnknown});
  std::vector<WriteEnded> ended;
  for (size_t i = 0; i < it->second.size(); ++i)
    ended.push_back({it->second[i], written->results[i]});
  sent_.erase(it);
  return ended;
}

std::optional<std::vector<WriteEnded>> TableWriter::HandleFailed(
    const PlatformFailed& event) {
  const auto node = sent_.extract(event.operation);
  if (node.empty())
    return std::nullopt;
  std::vector<WriteEnded> ended;
  for (const WriteTicket ticket : node.mapped())
    ended.push_back({ticket, std::nullopt, event.failure});
  return ended;
}

}  // namespace bilberry::node
