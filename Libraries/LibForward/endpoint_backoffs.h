#pragma once

#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/notice_batch.h"

namespace bilberry::forward {

// Endpoints that have asked to be sent nothing for some time: this host, or a
// peer. That says nothing of their health, and outlasts their entry in the
// list.
class EndpointBackoffs {
 public:
  // It asked this host now. Of several times asked for, the last end counts.
  // False when this one changes nothing.
  bool Note(const base::EndpointName& name,
            base::Incarnation incarnation,
            base::TimePoint until,
            base::TimePoint now);
  // The same by a peer's word, if that tells which life it is of.
  bool NoteByPeer(const BackoffReport& told, base::TimePoint now);

  // From when on this host may send the endpoint something; a time in the past
  // when it has asked this host for nothing.
  base::TimePoint EndOf(const base::EndpointName& name) const;
  // Whether this life of it has asked peers, so that others are better.
  bool IsQuietForPeers(const base::EndpointName& name,
                       base::Incarnation incarnation,
                       base::TimePoint now) const;
  // When this life of it may be sent something, by whosever word.
  base::TimePoint LastEndOf(const base::EndpointName& name,
                            base::Incarnation incarnation) const;
  // What peers are to be told: what isn't over yet, of lives that are known.
  std::vector<BackoffReport> Words(base::TimePoint now) const;

  // Those whose time is over, by whosever word, each once.
  std::vector<base::EndpointName> TakeEnded(base::TimePoint now);
  // When the next one is.
  std::optional<base::TimePoint> NextEnd() const;

 private:
  struct QuietTime {
    base::Incarnation incarnation{};
    base::TimePoint said;
    base::TimePoint until;
  };
  using ByName = std::map<base::EndpointName, QuietTime>;

  static bool Prolong(ByName& times,
                      const base::EndpointName& name,
                      const QuietTime& time);

  ByName own_;
  ByName told_;  // By peers.
};

}  // namespace bilberry::forward
