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

// Lines that may wait for a slow reader: routine ones leave half of it to the
// others.
constexpr size_t kMaxWaitingBytes = size_t{256} * 1024;
constexpr size_t kMaxRoutineBytes = kMaxWaitingBytes / 2;
// A host's share of the whole load writes about a hundred lines a second, and
// a burst a few times that.
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

bool JsonLog::HasPlaceFor(const forward::WriteLog& line) {
  if (base::KindOf(line.id).severity != base::LogSeverity::kInfo)
    return waiting_.size() <= kMaxWaitingBytes;
  if (waiting_.size() > kMaxRoutineBytes)
    return false;
  return ++routine_lines_ <= kRoutineLinesPerSecond;
}

void JsonLog::Add(const forward::WriteLog& line, base::TimePoint now) {
  if (now >= second_began_ + kBudgetInterval) {
    second_began_ = now;
    routine_lines_ = 0;
    TellLeftOut(now);
  }
  if (HasPlaceFor(line)) {
    Append(line, now);
    return;
  }
  ++left_out_;
  ++left_out_by_event_[base::KindOf(line.id).name];
}

// What was left out since it was told last, by event.
void JsonLog::TellLeftOut(base::TimePoint now) {
  if (left_out_ == told_left_out_ || waiting_.size() > kMaxWaitingBytes)
    return;
  forward::WriteLog line{base::LogEventId::kLinesLeftOut, "", {}};
  line.facts.push_back({"lines", std::to_string(left_out_ - told_left_out_)});
  for (const auto& [event, count] : left_out_by_event_) {
    if (count > told_by_event_[event])
      line.facts.push_back(
          {event, std::to_string(count - told_by_event_[event])});
  }
  told_left_out_ = left_out_;
  told_by_event_ = left_out_by_event_;
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
  for (const forward::LogField& fact : line.facts)
    object[std::string(fact.name)] = fact.value;
  waiting_ += PrintCompact(object);
  waiting_ += '\n';
}

void JsonLog::Flush() {
  while (!waiting_.empty()) {
    pollfd out{descriptor_, POLLOUT, 0};
    // A pipe that is ready for output takes PIPE_BUF bytes without blocking
    // (POSIX, pipe(7)).
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
      return;
    const size_t n = std::min<size_t>(waiting_.size(), PIPE_BUF);
    const ssize_t written = write(descriptor_, waiting_.data(), n);
    if (written <= 0)
      return;
    waiting_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace bilberry::transport
