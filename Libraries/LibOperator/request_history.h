#pragma once

#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::operators {

// One line of a host's log.
struct LogRecord {
  int64_t unix_ms = 0;
  std::string origin;  // Where the line stood: its host or its file.
  std::string event;
  bool is_routine = true;
  std::vector<std::pair<std::string, std::string>> facts;
};

// Gathers what the logs of several hosts tell of one request.
class RequestHistory {
 public:
  explicit RequestHistory(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // Reads JSON lines, also behind a prefix such as a collector's; other lines
  // are passed over.
  void Read(std::istream& log, const std::string& file);

  bool is_empty() const { return told_.empty(); }
  // Lines that name the request, in the order of time; then what endpoints
  // had said of themselves to the same hosts, and what else these warned of.
  std::string Print() const;

 private:
  // What a request's lines span.
  struct Span {
    int64_t begin_ms = 0;
    int64_t end_ms = 0;
    std::set<std::string> origins;
  };

  static bool IsInForce(const LogRecord& notice, const Span& span);
  static bool IsAround(const LogRecord& warning, const Span& span);

  std::string request_id_;
  std::vector<LogRecord> told_;
  std::vector<LogRecord> notices_;   // Endpoints that ask to get nothing.
  std::vector<LogRecord> warnings_;  // That name no request.
};

}  // namespace bilberry::operators
