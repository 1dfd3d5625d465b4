#pragma once

#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::operators {

// One record of a host's log.
struct LogRecord {
  int64_t unix_ms = 0;
  // The record's host, or its log file if the host is unknown.
  std::string origin;
  std::string event;
  bool is_routine = true;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Collects the log records of one request from several hosts.
class RequestHistory {
 public:
  explicit RequestHistory(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // Reads JSON lines, with or without a prefix such as a log collector's; skips
  // other lines.
  void Read(std::istream& log, const std::string& file);

  bool is_empty() const { return records_.empty(); }
  // Prints the records that name the request in order of time, then the
  // endpoint notices in force at the same hosts, the endpoints that crashed
  // under a request with the same content, and other warnings of these hosts.
  std::string Print() const;

 private:
  // Time span and hosts of a request's records.
  struct Span {
    int64_t begin_ms = 0;
    int64_t end_ms = 0;
    std::set<std::string> origins;
  };

  static bool IsInForce(const LogRecord& notice, const Span& span);
  // Whether the record is about a request with the same content.
  static bool IsOfDigest(const LogRecord& record, const std::string& digest);
  static bool IsNear(const LogRecord& warning, const Span& span);

  std::string request_id_;
  std::vector<LogRecord> records_;
  // Notices of endpoints that announce a departure, a limit, a Retry-After or a
  // cold period.
  std::vector<LogRecord> notices_;
  // Endpoints that crashed, and requests refused for it, of all hosts.
  std::vector<LogRecord> crashes_;
  std::vector<LogRecord> warnings_;  // Warnings that name no request.
};

}  // namespace bilberry::operators
