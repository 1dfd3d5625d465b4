#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::forward {

// One event of a stream (text/event-stream), with its closing blank line.
struct StreamEvent {
  std::string bytes;
  std::optional<std::string> id;
  bool has_data = false;
};

// Cuts the bytes of a stream into whole events.
class EventSplitter {
 public:
  // The events that these bytes complete, in order.
  std::vector<StreamEvent> Add(std::string_view bytes);

  // Whether bytes wait for the rest of their event, and how many.
  bool is_inside_event() const { return !rest_.empty(); }
  size_t rest_bytes() const { return rest_.size(); }

 private:
  std::string rest_;
};

}  // namespace bilberry::forward
