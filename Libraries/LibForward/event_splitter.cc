#include "LibForward/event_splitter.h"

#include <utility>

namespace bilberry::forward {

namespace {

// Returns the value of the event's first field of this name. `name` includes
// the colon.
std::optional<std::string> FieldOf(std::string_view event,
                                   std::string_view name) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(name)) {
      line.remove_prefix(name.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      if (line.ends_with('\r'))
        line.remove_suffix(1);
      return std::string(line);
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Add(std::string_view bytes) {
  rest_ += bytes;
  std::vector<StreamEvent> events;
  size_t begin = 0;  // Of the event.
  for (size_t end = rest_.find('\n', searched_); end != std::string::npos;
       end = rest_.find('\n', searched_)) {
    const bool is_blank = end == line_begin_ || (end == line_begin_ + 1 &&
                                                 rest_[line_begin_] == '\r');
    examined_bytes_ += end + 1 - searched_;
    searched_ = end + 1;
    line_begin_ = searched_;
    if (!is_blank)
      continue;
    StreamEvent event;
    event.bytes = rest_.substr(begin, searched_ - begin);
    event.id = FieldOf(event.bytes, "id:");
    event.has_data = FieldOf(event.bytes, "data:").has_value();
    events.push_back(std::move(event));
    begin = searched_;
  }
  examined_bytes_ += rest_.size() - searched_;
  rest_.erase(0, begin);
  searched_ = rest_.size();
  line_begin_ -= begin;
  return events;
}

}  // namespace bilberry::forward
