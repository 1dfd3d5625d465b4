#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::operators {

// One line of a host's log.
struct StoryLine {
  int64_t unix_ms = 0;
  std::string origin;  // Where the line stood: its host or its file.
  std::string event;
  bool is_routine = true;
  std::vector<std::pair<std::string, std::string>> facts;
};

// Gathers what the logs of several hosts tell of one request.
class RequestStory {
 public:
  explicit RequestStory(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // Reads JSON lines, also behind a prefix such as a collector's; other lines
  // are passed over.
  void Read(std::istream& log, const std::string& file);

  bool is_empty() const { return told_.empty(); }
  // Lines that name the request, in the order of time; then what else the same
  // hosts warned of meanwhile.
  std::string Print() const;

 private:
  std::string request_id_;
  std::vector<StoryLine> told_;
  std::vector<StoryLine> warnings_;  // That name no request.
};

}  // namespace bilberry::operators
