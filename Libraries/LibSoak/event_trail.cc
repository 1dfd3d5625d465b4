#include "LibSoak/event_trail.h"

#include <utility>

namespace bilberry::soak {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

EventTrail::EventTrail(base::TimePoint now)
    : origin_(now),
      origin_unix_ms_(duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count()) {}

void EventTrail::Add(base::TimePoint at, std::string text) {
  entries_.push_back({at, std::move(text)});
}

int64_t EventTrail::UnixMs(base::TimePoint at) const {
  return origin_unix_ms_ + duration_cast<milliseconds>(at - origin_).count();
}

void EventTrail::Print(std::ostream& out,
                       base::TimePoint at,
                       milliseconds around,
                       const std::string& request) const {
  for (const Entry& it : entries_) {
    const bool is_near = it.at >= at - around && it.at <= at + around;
    const bool names_it =
        !request.empty() && it.text.find(request) != std::string::npos;
    if (is_near || names_it)
      out << UnixMs(it.at) << " " << it.text << "\n";
  }
}

}  // namespace bilberry::soak
