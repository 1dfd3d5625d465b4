#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// Asks the hosts that this one relies on whether they are there: a host that is
// frozen or cut off closes no connection, and its answers may take seconds when
// all is well.
class PeerWatch {
 public:
  // Replaces the hosts that are asked.
  void Watch(const std::set<base::HostName>& hosts);
  // Something was asked of them: they are watched for a while from now.
  void NoteUse(base::TimePoint now);

  // Hosts to be asked now; each ends in one NoteEnded().
  std::vector<base::HostName> TakeDue(base::TimePoint now);
  void NoteEnded(const base::HostName& host);

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Question {
    base::TimePoint due;
    bool is_open = false;
  };

  std::map<base::HostName, Question> questions_;
  base::TimePoint used_until_;
  bool is_used_ = false;  // When it was last looked at.
};

}  // namespace bilberry::forward
