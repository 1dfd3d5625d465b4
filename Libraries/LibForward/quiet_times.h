#pragma once

#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// Endpoints that have asked this host to send them nothing for some time. That
// says nothing of their health, and outlasts their entry in the list.
class QuietTimes {
 public:
  // Of several times asked for, the last end counts. False when this one
  // changes nothing.
  bool Note(const base::EndpointName& name, base::TimePoint until);

  // From when on the endpoint may be sent something; a time in the past when it
  // has asked for nothing.
  base::TimePoint EndOf(const base::EndpointName& name) const;

  // Those whose time is over, each once.
  std::vector<base::EndpointName> TakeEnded(base::TimePoint now);
  // When the next one is.
  std::optional<base::TimePoint> NextEnd() const;

 private:
  std::map<base::EndpointName, base::TimePoint> ends_;
};

}  // namespace bilberry::forward
