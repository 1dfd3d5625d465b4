#include "LibTransport/json_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "LibBase/log_event.h"
#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

// Lines that may wait for a slow reader.
constexpr size_t kMaxWaitingBytes = size_t{256} * 1024;

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

void JsonLog::Add(const forward::WriteLog& line, base::TimePoint now) {
  if (waiting_.size() > kMaxWaitingBytes) {
    ++left_out_;
    return;
  }
  const base::LogEventKind& kind = base::KindOf(line.id);
  Json::Value object;
  object["at_us"] = static_cast<Json::Int64>(now.time_since_epoch().count());
  object["event"] = static_cast<int>(kind.id);
  object["name"] = std::string(kind.name);
  object["severity"] = std::string(SeverityText(kind.severity));
  if (!line.request_id.empty())
    object["request"] = line.request_id;
  for (const forward::LogFact& fact : line.facts)
    object[std::string(fact.name)] = fact.value;
  if (left_out_ > told_left_out_) {
    object["lines_left_out"] = static_cast<Json::UInt64>(left_out_);
    told_left_out_ = left_out_;
  }
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
