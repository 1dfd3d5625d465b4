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

// An endpoint's rate limit as one host reports it to another.
struct LimitReport {
  RequestLimit limit;
  base::Duration age{};  // Since the limit was received from the endpoint.
};

// A limit report with the endpoint that it concerns.
struct EndpointLimitReport {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};
  LimitReport report;
};

// The rate limits that endpoints announced in their newest answers.
class EndpointLimits {
 public:
  // Records the limit from an answer received now to a request sent at
  // `sent_at`. Answers may overtake each other: an answer to a request sent
  // before the newest known answer was received may be the older of the two,
  // and can therefore only lower the limit. Returns false if nothing has
  // changed.
  bool Note(const base::EndpointName& name,
            base::Incarnation incarnation,
            const RequestLimit& limit,
            base::TimePoint sent_at,
            base::TimePoint now);

  // Records a peer's report. A report of the limit that is already known
  // doesn't refresh its age, since the report may originate from this host.
  bool NoteByPeer(const base::EndpointName& name,
                  base::Incarnation incarnation,
                  const LimitReport& report,
                  base::TimePoint now);

  // Returns empty if nothing is known of this incarnation of the endpoint.
  std::optional<LimitReport> ReportOf(const base::EndpointName& name,
                                      base::Incarnation incarnation,
                                      base::TimePoint now) const;
  // Returns the limit in requests per second; empty if no limit of this
  // incarnation is known.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const;
  // Returns the reports for peers: limits that were received recently.
  std::vector<EndpointLimitReport> RecentReports(base::TimePoint now) const;
  // Counter that is incremented with each change of a limit.
  uint64_t changes() const { return changes_; }
  // Whether a limit of any incarnation of the endpoint is known.
  bool Knows(const base::EndpointName& name) const;

 private:
  struct Entry {
    base::Incarnation incarnation{};
    RequestLimit limit;
    base::TimePoint received_at;
  };

  // Returns false if no limit has changed.
  bool Apply(const base::EndpointName& name, Entry entry);
  void Prune();

  std::map<base::EndpointName, Entry> entries_;
  uint64_t changes_ = 0;
};

// Formats a limit for log lines.
std::string ToText(const RequestLimit& limit);

}  // namespace bilberry::forward
