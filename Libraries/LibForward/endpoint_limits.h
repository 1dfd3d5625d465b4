#pragma once

#include <map>
#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/endpoint_notice.h"

namespace bilberry::forward {

// The limits that endpoints have named, by their newest answers.
class EndpointLimits {
 public:
  // An answer to what was sent at `asked`, heard now. Answers may overtake each
  // other: one to what was sent before the newest was heard may be the older of
  // the two, and can only lower the limit. False when nothing has changed.
  bool Note(const base::EndpointName& name,
            base::Incarnation incarnation,
            const RequestLimit& limit,
            base::TimePoint asked,
            base::TimePoint now);

  // Empty when this life of the endpoint has no limit, as far as is known.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const;
  // Whether a limit of any of its lives is known.
  bool Knows(const base::EndpointName& name) const;

 private:
  struct Entry {
    base::Incarnation incarnation{};
    RequestLimit limit;
    base::TimePoint heard;
  };

  void Prune();

  std::map<base::EndpointName, Entry> entries_;
};

// As log lines hold it.
std::string ToText(const RequestLimit& limit);

}  // namespace bilberry::forward
