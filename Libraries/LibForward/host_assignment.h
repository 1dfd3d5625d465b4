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
#include "LibForward/placement.h"

namespace bilberry::forward {

// An endpoint whose fleet-wide rate limit is enforced by one host.
struct EndpointLimitKey {
  base::EndpointName name;
  base::ZoneName zone;
};

// Assigns tasks to hosts: which host dispatches the pieces of a pool of a cell,
// which host enforces the rate limit that an endpoint has set for all hosts,
// and which host places the requests of a final pool in a zone. Large hosts are
// preferred to small ones and then hosts of the task's zone to others; ties are
// broken by rendezvous hashing. The pools of one cell are spread so that each
// host dispatches as few of them as possible. Hosts with the same host list
// agree without communication. Therefore a host takes part only while the list
// holds it at its own address, as it does for the others; until then its tasks
// are those of other hosts, if there are any.
class HostAssignment {
 public:
  explicit HostAssignment(PeerHost own);

  // Sets the hosts that the store lists.
  void SetHosts(std::span<const PeerHost> hosts);
  // The pools whose endpoints produce pieces.
  void SetPools(std::set<base::PoolName> pools);

  const PeerHost& DispatcherOf(const CellPool& at) const;
  // The dispatcher if no host were suspected.
  const PeerHost& PreferredDispatcherOf(const CellPool& at) const;
  // The dispatcher if the preferred one were gone.
  const PeerHost& DispatcherSuccessorOf(const CellPool& at) const;
  // The host that enforces the endpoint's rate limit.
  const PeerHost& LimitOwnerOf(const EndpointLimitKey& endpoint) const;
  // The limit's owner if no host were suspected, and the one that would replace
  // this owner.
  const PeerHost& PreferredLimitOwnerOf(const EndpointLimitKey& endpoint) const;
  const PeerHost& LimitOwnerSuccessorOf(const EndpointLimitKey& endpoint) const;
  // The host that places the domain's runs.
  const PeerHost& PlacementOwnerOf(const PlacementDomain& domain) const;
  bool IsOwn(const PeerHost& host) const { return host.name == own_.name; }
  // Null if there is no host of this name.
  const PeerHost* Find(const base::HostName& name) const;
  size_t host_count() const { return hosts_.size(); }
  // The hosts among which tasks are shared out.
  std::span<const PeerHost> listed_hosts() const {
    return std::span(hosts_).subspan(FirstListed());
  }

  // A suspected host gets no tasks until it answers again.
  void MarkSuspect(const base::HostName& name);
  void ClearSuspect(const base::HostName& name);
  bool IsSuspect(const base::HostName& name) const {
    return suspects_.contains(name);
  }

 private:
  // The dispatcher of each pool of a cell, as an index into `hosts_`.
  using PoolDispatchers = std::map<base::PoolName, size_t>;

  // The index into `hosts_` of the first host that takes tasks.
  size_t FirstListed() const {
    return is_listed_ || hosts_.size() == 1 ? 0 : 1;
  }
  const PeerHost& Choose(const CellPool& at,
                         const std::set<base::HostName>& excluded,
                         std::map<Cell, PoolDispatchers>& cache) const;
  PoolDispatchers AssignPools(const Cell& cell,
                              const std::set<base::HostName>& excluded) const;
  // Returns the index of the best host for a task in `zone`, or in any zone if
  // `zone` is empty. `tasks` holds the number of tasks of each host; among
  // hosts of the same tier, those with fewer tasks come first.
  size_t BestFor(const std::string& key,
                 const base::ZoneName& zone,
                 const std::set<base::HostName>& excluded,
                 const std::vector<size_t>& tasks) const;
  size_t ChooseLimitOwner(const EndpointLimitKey& endpoint,
                          const std::set<base::HostName>& excluded) const;
  void ClearCaches();
  // Clears the assignments that depend on which hosts are suspected.
  void ClearCurrentCaches();

  PeerHost own_;
  std::vector<PeerHost> hosts_;  // This host comes first.
  bool is_listed_ = false;
  std::set<base::PoolName> pools_;
  std::set<base::HostName> suspects_;
  HostSizes sizes_;
  // Caches, cleared when the hosts, the pools or the suspected hosts change.
  mutable std::map<Cell, PoolDispatchers> dispatchers_;
  mutable std::map<Cell, PoolDispatchers> preferred_dispatchers_;
  mutable std::map<base::EndpointName, size_t> limit_owners_;
  mutable std::map<PlacementDomain, size_t> placement_owners_;
};

}  // namespace bilberry::forward
