#include "LibTransport/json_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>

#include "LibBase/log_event.h"
#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

// Bytes buffered for a slow reader. Routine lines may fill half of the buffer;
// the other half is reserved for warnings and errors.
constexpr size_t kMaxBufferedBytes = size_t{256} * 1024;
constexpr size_t kMaxBufferedRoutineBytes = kMaxBufferedBytes / 2;
// At the full load of all hosts, one host's share is about a hundred lines per
// second, with bursts of a few times that.
constexpr uint64_t kRoutineLinesPerSecond = 500;
constexpr std::chrono::seconds kBudgetInterval{1};

std::string_view SeverityText(base::LogSeverity severity) {
  switch (severity) {
    case base::LogSeverity::kInfo:
      return "info";
    case base::LogSeverity::kWarning:
      return "warning";
    case base::LogSeverity::kError:
      return "error";
  }
  return "info";
}

}  // namespace

bool JsonLog::TakeBudgetFor(const forward::WriteLog& line) {
  if (base::KindOf(line.id).severity != base::LogSeverity::kInfo)
    return buffer_.size() <= kMaxBufferedBytes;
  if (buffer_.size() > kMaxBufferedRoutineBytes)
    return false;
  return ++routine_lines_ <= kRoutineLinesPerSecond;
}

void JsonLog::Add(const forward::WriteLog& line, base::TimePoint now) {
  if (now >= interval_start_ + kBudgetInterval) {
    interval_start_ = now;
    routine_lines_ = 0;
    ReportDroppedLines(now);
  }
  if (TakeBudgetFor(line)) {
    Append(line, now);
    return;
  }
  ++dropped_count_;
  ++dropped_by_event_[base::KindOf(line.id).name];
}

// Reports the lines dropped since the last report, by event.
void JsonLog::ReportDroppedLines(base::TimePoint now) {
  if (dropped_count_ == reported_dropped_count_ ||
      buffer_.size() > kMaxBufferedBytes)
    return;
  forward::WriteLog line{base::LogEventId::kLinesLeftOut, "", {}};
  line.fields.push_back(
      {"lines", std::to_string(dropped_count_ - reported_dropped_count_)});
  for (const auto& [event, count] : dropped_by_event_) {
    if (count > reported_by_event_[event])
      line.fields.push_back(
          {event, std::to_string(count - reported_by_event_[event])});
  }
  reported_dropped_count_ = dropped_count_;
  reported_by_event_ = dropped_by_event_;
  Append(line, now);
}

void JsonLog::Append(const forward::WriteLog& line, base::TimePoint now) {
  const base::LogEventKind& kind = base::KindOf(line.id);
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  Json::Value object;
  object["unix_ms"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
  object["at_us"] = static_cast<Json::Int64>(now.time_since_epoch().count());
  object["event"] = static_cast<int>(kind.id);
  object["name"] = std::string(kind.name);
  object["severity"] = std::string(SeverityText(kind.severity));
  if (!line.request_id.empty())
    object["request"] = line.request_id;
  for (const forward::LogField& field : line.fields)
    object[std::string(field.name)] = field.value;
  buffer_ += PrintCompact(object);
  buffer_ += '\n';
}

void JsonLog::Flush() {
  while (!buffer_.empty()) {
    pollfd out{descriptor_, POLLOUT, 0};
    // A pipe that polls ready for output takes PIPE_BUF bytes without blocking
    // (POSIX, pipe(7)).
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
      return;
    const size_t n = std::min<size_t>(buffer_.size(), PIPE_BUF);
    const ssize_t written = write(descriptor_, buffer_.data(), n);
    if (written <= 0)
      return;
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace bilberry::transport
