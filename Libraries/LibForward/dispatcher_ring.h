#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// An entry host as its peers know it.
struct PeerHost {
  base::HostName name;
  base::SocketAddress address;
  base::ZoneName zone;
  double capacity = 1;  // Cores; dispatchers fall on hosts in proportion.

  friend bool operator==(const PeerHost&, const PeerHost&) = default;
};

// Which host collects the pieces of a pool: the one with the highest weight
// (rendezvous hashing) of those that answer. Hosts that know the same hosts
// choose the same one without talking; when they don't, calls are less full.
class DispatcherRing {
 public:
  explicit DispatcherRing(PeerHost own);

  void SetHosts(std::span<const PeerHost> hosts);

  const PeerHost& DispatcherOf(const base::PoolName& pool) const;
  // The one that would be chosen if every host answered.
  const PeerHost& IdealDispatcherOf(const base::PoolName& pool) const;
  bool IsOwn(const PeerHost& host) const { return host.name == own_.name; }
  // Null when there is no such host.
  const PeerHost* Find(const base::HostName& name) const;

  // A host that gave no answer is passed over until it answers.
  void NoteSilent(const base::HostName& name) { silent_.insert(name); }
  void NoteAnswer(const base::HostName& name) { silent_.erase(name); }
  bool IsSilent(const base::HostName& name) const {
    return silent_.contains(name);
  }

 private:
  const PeerHost& BestOf(const base::PoolName& pool,
                         const std::set<base::HostName>& passed_over) const;

  PeerHost own_;
  std::vector<PeerHost> hosts_;  // With the own one.
  std::set<base::HostName> silent_;
};

}  // namespace bilberry::forward
