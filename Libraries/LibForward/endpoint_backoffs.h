#pragma once

#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/notice_batch.h"

namespace bilberry::forward {

// Backoffs that endpoints asked for (Retry-After), from this host or from a
// peer. A backoff says nothing about the endpoint's health, and outlasts the
// endpoint's entry in the list.
class EndpointBackoffs {
 public:
  // Records a backoff asked of this host now. Of several backoff periods, the
  // latest end counts. Returns false if this one changes nothing.
  bool Note(const base::EndpointName& name,
            base::Incarnation incarnation,
            base::TimePoint until,
            base::TimePoint now);
  // Records a backoff reported by a peer, if the report names the incarnation
  // and its times are valid. Returns false if it changes nothing.
  bool NoteByPeer(const BackoffReport& report, base::TimePoint now);

  // Returns the end of the backoff asked of this host; a time in the past if
  // there is none.
  base::TimePoint EndOf(const base::EndpointName& name) const;
  // Whether this incarnation has asked peers for a backoff, so that other
  // endpoints are preferred.
  bool IsBackingOffFromPeers(const base::EndpointName& name,
                             base::Incarnation incarnation,
                             base::TimePoint now) const;
  // Returns the latest end of this incarnation's backoff periods, asked of this
  // host or of peers.
  base::TimePoint LastEndOf(const base::EndpointName& name,
                            base::Incarnation incarnation) const;
  // Returns the reports for peers: backoff periods that are not over and whose
  // incarnation is known.
  std::vector<BackoffReport> ActiveReports(base::TimePoint now) const;

  // Removes the backoff periods that are over; returns each endpoint that has
  // none left, whether it was asked of this host or of peers.
  std::vector<base::EndpointName> TakeEnded(base::TimePoint now);
  // Returns when the next backoff ends.
  std::optional<base::TimePoint> NextEnd() const;

 private:
  struct Backoff {
    base::Incarnation incarnation{};
    base::TimePoint asked_at;
    base::TimePoint until;
  };
  using ByName = std::map<base::EndpointName, Backoff>;

  static bool Extend(ByName& times,
                     const base::EndpointName& name,
                     const Backoff& time);

  ByName own_;
  ByName reported_by_peers_;
};

}  // namespace bilberry::forward
