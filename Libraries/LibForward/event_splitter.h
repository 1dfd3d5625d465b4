#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::forward {

// One server-sent event (text/event-stream), including the blank line that ends
// it.
struct StreamEvent {
  std::string bytes;
  std::optional<std::string> id;
  bool has_data = false;
};

// Incremental parser that splits a stream into complete server-sent events.
class EventSplitter {
 public:
  // Appends bytes; returns the events completed by them, in order.
  std::vector<StreamEvent> Add(std::string_view bytes);

  // Whether the buffer holds an incomplete event, and its size in bytes.
  bool is_inside_event() const { return !rest_.empty(); }
  size_t rest_bytes() const { return rest_.size(); }
  // How many bytes have been searched for the ends of lines so far.
  uint64_t examined_bytes() const { return examined_bytes_; }

 private:
  std::string rest_;
  size_t line_begin_ = 0;  // Of the last line in `rest_`.
  size_t searched_ = 0;    // Up to here, the last line has no end.
  uint64_t examined_bytes_ = 0;
};

}  // namespace bilberry::forward
