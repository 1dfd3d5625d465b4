#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/cell.h"
#include "LibForward/host_sizes.h"

namespace bilberry::forward {

// An endpoint whose limit for all hosts is kept by one of them.
struct EndpointLimitKey {
  base::EndpointName name;
  base::ZoneName zone;
};

// Which host works for others at what: collects the pieces of a pool of a cell,
// or keeps the limit that an endpoint has named for all hosts. Only hosts that
// are large enough do while there are any, those of the zone first, by
// rendezvous hashing; the pools of a cell are dealt out so that each host has
// as few as can be. Hosts that know the same hosts choose alike without
// talking.
class HostAssignment {
 public:
  explicit HostAssignment(PeerHost own);

  void SetHosts(std::span<const PeerHost> hosts);
  // Those that make pieces.
  void SetPools(std::set<base::PoolName> pools);

  const PeerHost& DispatcherOf(const CellPool& at) const;
  // The one that would be chosen if every host answered.
  const PeerHost& PreferredDispatcherOf(const CellPool& at) const;
  // The one that would be chosen if the ideal one were gone.
  const PeerHost& DispatcherSuccessorOf(const CellPool& at) const;
  // The one that keeps the limit of an endpoint.
  const PeerHost& LimitOwnerOf(const EndpointLimitKey& endpoint) const;
  // The same if every host answered, and if that one were gone.
  const PeerHost& PreferredLimitOwnerOf(const EndpointLimitKey& endpoint) const;
  const PeerHost& LimitOwnerSuccessorOf(const EndpointLimitKey& endpoint) const;
  bool IsOwn(const PeerHost& host) const { return host.name == own_.name; }
  // Null when there is no such host.
  const PeerHost* Find(const base::HostName& name) const;
  size_t host_count() const { return hosts_.size(); }
  // The own one first.
  std::span<const PeerHost> hosts() const { return hosts_; }

  // A host that gave no answer is passed over until it answers.
  void MarkSuspect(const base::HostName& name);
  void ClearSuspect(const base::HostName& name);
  bool IsSuspect(const base::HostName& name) const {
    return silent_.contains(name);
  }

 private:
  // By pool, an index into `hosts_`.
  using Dealt = std::map<base::PoolName, size_t>;

  const PeerHost& Choose(const CellPool& at,
                         const std::set<base::HostName>& passed_over,
                         std::map<Cell, Dealt>& known) const;
  Dealt Deal(const Cell& cell,
             const std::set<base::HostName>& passed_over) const;
  // For a zone; for all of them if it is empty. Those with fewer `tasks` go
  // first.
  size_t BestFor(const std::string& key,
                 const base::ZoneName& zone,
                 const std::set<base::HostName>& passed_over,
                 const std::vector<size_t>& tasks) const;
  size_t ChooseLimitOwner(const EndpointLimitKey& endpoint,
                          const std::set<base::HostName>& passed_over) const;
  void ForgetDealt();
  // What goes by who is silent.
  void ForgetChosen();

  PeerHost own_;
  std::vector<PeerHost> hosts_;  // With the own one.
  std::set<base::PoolName> pools_;
  std::set<base::HostName> silent_;
  HostSizes sizes_;
  // What was worked out since hosts, pools or silent ones last changed.
  mutable std::map<Cell, Dealt> dealt_;
  mutable std::map<Cell, Dealt> ideally_dealt_;
  mutable std::map<base::EndpointName, size_t> keepers_;
};

}  // namespace bilberry::forward
