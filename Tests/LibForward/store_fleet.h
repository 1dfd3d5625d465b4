#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForward/store_synchronizer.h"

namespace bilberry::forward {

using std::chrono::milliseconds;

// How the store treats one host's calls.
enum class StoreAccess {
  kAnswers,
  kRejects,  // Each call fails at once.
  kSilent,   // No call is answered, including open long polls.
  // The answer to an open poll of the configuration is lost, and those to
  // later ones.
  kLosesConfiguration,
};

// The StoreSynchronizers of a fleet in three zones, which poll each other and a
// simulated store in virtual time.
class StoreFleet {
 public:
  StoreFleet(size_t hosts, uint64_t seed);

  void RunFor(milliseconds time);
  void SetAccess(size_t host, StoreAccess access);
  // Each n-th host, beginning with the first.
  void SetAccessOfEach(size_t n, StoreAccess access);

  // Writes by operators and endpoints.
  void WriteConfiguration(uint64_t revision);
  void WriteEndpoint(const std::string& name, EndpointState state);
  void RemoveEndpoint(const std::string& name);
  void EvacuateZone(const std::string& zone);

  // The store's data at this moment, to be restored later.
  void CopyStore() { copy_ = tables_; }
  // The store comes back from that copy in a new era, in which versions are
  // assigned again from the copy's on.
  void RestoreStore();
  // Others write to tables that hosts don't follow.
  void WriteElsewhere(uint64_t n) { tables_.version += n; }

  uint64_t revision_of(size_t host) const;
  // The number of hosts whose configuration is older than this revision.
  size_t CountOlderThan(uint64_t revision) const;
  // The number of hosts that would send requests to this endpoint.
  size_t CountServing(const std::string& endpoint) const;
  size_t CountEvacuated(const std::string& endpoint) const;
  // The number of hosts listed in the store.
  size_t CountListedHosts() const;
  // The lowest number of other hosts that any host knows.
  size_t FewestKnownHosts() const;
  size_t host_count() const { return hosts_.size(); }
  uint64_t poll_count() const { return poll_count_; }

 private:
  struct Row {
    RowContent content;
    uint64_t version = 0;
  };
  struct Tables {
    std::map<FeedKind, std::map<std::string, Row>> rows;
    uint64_t version = 1;
  };
  struct Call {
    std::variant<ListTable, FollowTable> action;
    int64_t began = 0;
    bool is_lost = false;
  };
  struct Host {
    std::unique_ptr<ForwardContext> context;
    std::unique_ptr<StoreSynchronizer> synchronizer;
    std::map<FeedKind, Call> calls;
    StoreAccess access = StoreAccess::kAnswers;
    uint64_t seen_host_changes = 0;
  };
  // A message between hosts on its way.
  struct Message {
    int64_t due = 0;
    size_t to = 0;
    Event event;
  };

  base::TimePoint now() const { return base::TimePoint(milliseconds(now_ms_)); }
  void Put(FeedKind feed, const std::string& key, RowContent content);
  void Step();
  void RefreshEndpoints();
  void RunHost(size_t host);
  void Begin(size_t host, std::variant<ListTable, FollowTable> action);
  void AnswerIfDue(size_t host, FeedKind feed);
  void AnswerFollow(size_t host, const FollowTable& follow);
  std::vector<FeedRow> RowsSince(FeedKind feed, uint64_t version) const;
  std::optional<size_t> FindHost(const base::SocketAddress& address) const;
  size_t CountEndpoint(const std::string& endpoint, EndpointState state) const;

  std::vector<Host> hosts_;
  std::vector<Message> messages_;
  std::map<PeerExchangeId, size_t> requesters_;
  Tables tables_;
  Tables copy_;
  StoreEra era_ = 0;
  uint64_t last_exchange_ = 0;
  uint64_t poll_count_ = 0;
  int64_t now_ms_ = 1;
};

}  // namespace bilberry::forward
