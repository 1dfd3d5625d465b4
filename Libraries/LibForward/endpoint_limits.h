#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/endpoint_notice.h"

namespace bilberry::forward {

// What a host knows of an endpoint's limit, as it tells a peer.
struct LimitReport {
  RequestLimit limit;
  base::Duration age{};  // Since it was heard.
};

// The same with whose limit it is.
struct EndpointLimitReport {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  LimitReport word;
};

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

  // The same by a peer's word; one that says what is known makes it no newer,
  // since it may be this host's own.
  bool NoteByPeer(const base::EndpointName& name,
                  base::Incarnation incarnation,
                  const LimitReport& word,
                  base::TimePoint now);

  // Empty when nothing is known of this life of the endpoint.
  std::optional<LimitReport> ReportOf(const base::EndpointName& name,
                                      base::Incarnation incarnation,
                                      base::TimePoint now) const;
  // Empty when this life of the endpoint has no limit, as far as is known.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const;
  // What peers are to be told: what was heard lately of lives that are known.
  std::vector<EndpointLimitReport> RecentReports(base::TimePoint now) const;
  // Grows with each change of a limit.
  uint64_t changes() const { return changes_; }
  // Whether a limit of any of its lives is known.
  bool Knows(const base::EndpointName& name) const;

 private:
  struct Entry {
    base::Incarnation incarnation{};
    RequestLimit limit;
    base::TimePoint heard;
  };

  // False when it changes no limit.
  bool Take(const base::EndpointName& name, Entry entry);
  void Prune();

  std::map<base::EndpointName, Entry> entries_;
  uint64_t changes_ = 0;
};

// As log lines hold it.
std::string ToText(const RequestLimit& limit);

}  // namespace bilberry::forward
