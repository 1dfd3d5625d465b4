#include "LibForward/event_splitter.h"

#include <utility>

namespace bilberry::forward {

namespace {

// Returns the position behind the first blank line at or after `from`; npos if
// there is none.
size_t EndOfEvent(const std::string& text, size_t from) {
  for (size_t line = from; line < text.size();) {
    const size_t end = text.find('\n', line);
    if (end == std::string::npos)
      return std::string::npos;
    const bool is_blank =
        end == line || (end == line + 1 && text[line] == '\r');
    if (is_blank)
      return end + 1;
    line = end + 1;
  }
  return std::string::npos;
}

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
  size_t begin = 0;
  for (size_t end = EndOfEvent(rest_, begin); end != std::string::npos;
       end = EndOfEvent(rest_, begin)) {
    StreamEvent event;
    event.bytes = rest_.substr(begin, end - begin);
    event.id = FieldOf(event.bytes, "id:");
    event.has_data = FieldOf(event.bytes, "data:").has_value();
    events.push_back(std::move(event));
    begin = end;
  }
  rest_.erase(0, begin);
  return events;
}

}  // namespace bilberry::forward
