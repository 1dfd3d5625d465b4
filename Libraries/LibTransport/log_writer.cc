#include "LibTransport/log_writer.h"

#include <glog/logging.h>

namespace bilberry::transport {

namespace {

std::string LineOf(const base::LogEvent& event) {
  const base::LogEventKind& kind = base::KindOf(event.id);
  return "event=" + std::to_string(static_cast<int>(kind.id)) +
         " name=" + std::string(kind.name) + " detail=\"" + event.detail + "\"";
}

}  // namespace

void InitializeLog(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void WriteLogLine(const base::LogEvent& event) {
  switch (base::KindOf(event.id).severity) {
    case base::LogSeverity::kInfo:
      LOG(INFO) << LineOf(event);
      return;
    case base::LogSeverity::kWarning:
      LOG(WARNING) << LineOf(event);
      return;
    case base::LogSeverity::kError:
      LOG(ERROR) << LineOf(event);
      return;
  }
}

}  // namespace bilberry::transport
