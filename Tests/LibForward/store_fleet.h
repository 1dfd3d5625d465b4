#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForward/simulated_links.h"
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

// What limits the transfers of a fleet.
struct LinkLimits {
  double store_mbps = 4000;
  // Of one answer of the store; empty if only links limit it.
  std::optional<double> answer_mbps = std::nullopt;
  // The part of each host's link that other traffic takes.
  double load = 0;
};

// The StoreSynchronizers of a fleet in three zones, which poll each other and a
// simulated store in virtual time. Hosts can be killed, stopped and started,
// and the store can perform their writes late.
class StoreFleet {
 public:
  StoreFleet(size_t hosts, uint64_t seed);

  void RunFor(milliseconds time);
  // From now on answers take the time that the hosts' links take for them.
  void LimitLinks(const LinkLimits& limits);
  void SetAccess(size_t host, StoreAccess access);
  // Each n-th host, beginning with the first.
  void SetAccessOfEach(size_t n, StoreAccess access);

  // The host ends, without a word or after removing its row.
  void Kill(size_t host);
  void Stop(size_t host);
  // Starts it again, as another process of the same name.
  void Start(size_t host);
  bool is_running(size_t host) const {
    return hosts_[host].synchronizer != nullptr;
  }
  // The store performs what the host writes only after this time, and its
  // answer is lost; 0 ends this.
  void DelayWrites(size_t host, milliseconds time) {
    hosts_[host].write_delay = time;
  }
  // The store performs this removal, whatever the row's fence is.
  void RemoveHostRow(size_t host);

  // Writes by operators and endpoints.
  void WriteConfiguration(uint64_t revision, size_t routes = 0);
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
  // What the host has received of answers since the links were limited.
  double received_bytes(size_t host) const {
    return links_->received_bytes(host);
  }
  // The number of hosts whose configuration is older than this revision.
  size_t CountOlderThan(uint64_t revision) const;
  // The number of hosts that would send requests to this endpoint.
  size_t CountServing(const std::string& endpoint) const;
  size_t CountEvacuated(const std::string& endpoint) const;
  // The number of hosts listed in the store.
  size_t CountListedHosts() const;
  // Whether the store lists just the hosts that run, at their own addresses.
  bool IsTableRight() const;
  // The number of hosts that take themselves for the owner of the endpoint's
  // limit.
  size_t CountLimitOwners(const std::string& endpoint,
                          const std::string& zone) const;
  // What hosts have written to their rows, or tried to.
  uint64_t write_count() const { return write_count_; }
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
    std::map<std::string, OwnRowFence> fences;
    uint64_t version = 1;
  };
  struct Call {
    std::variant<ListTable, FollowTable> action;
    int64_t began = 0;
    bool is_lost = false;
    // Once the store has begun to answer.
    std::optional<TransferId> transfer;
    Event answer;
  };
  // The synchronizer is null while the host doesn't run.
  struct Host {
    std::unique_ptr<ForwardContext> context;
    std::unique_ptr<StoreSynchronizer> synchronizer;
    std::map<FeedKind, Call> calls;
    StoreAccess access = StoreAccess::kAnswers;
    uint64_t seen_host_changes = 0;
    milliseconds write_delay{0};
    uint64_t starts = 0;
    // When a stopping host ends.
    std::optional<int64_t> ends_at;
  };
  // A write that the store performs late.
  struct LateWrite {
    int64_t due = 0;
    WriteOwnRow write;
  };
  // The host's call has timed out.
  struct LostWrite {
    int64_t due = 0;
    size_t host = 0;
    uint64_t start = 0;  // Of the process that made it.
  };
  // A host's request for another host's copy of the tables.
  struct Poll {
    size_t host = 0;
    uint64_t start = 0;  // Of the process that made it.
    StoreSyncKind kind{};
    int64_t began = 0;
    AnswerTimeouts timeouts;
    // Once the other host has begun to answer.
    std::optional<int64_t> answered_at;
    std::optional<TransferId> transfer;  // If links are limited.
    StoreSyncResponse response;
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
  void WriteRow(size_t host, const WriteOwnRow& write);
  // Performs a write unless its fence is outdated.
  Event Perform(const WriteOwnRow& write);
  void PerformLateWrites();
  void Deliver(size_t host, const Event& event);
  void Begin(size_t host, std::variant<ListTable, FollowTable> action);
  void AnswerIfDue(size_t host, FeedKind feed);
  // Returns false if the store holds the call.
  bool MakeAnswer(const Call& call, Event& answer) const;
  bool MakeAnswer(const FollowTable& follow,
                  int64_t taken,
                  Event& answer) const;
  void DeliverAnswer(size_t host, FeedKind feed);
  void DropTransfer(const std::optional<TransferId>& transfer);
  void BeginPoll(size_t host, RequestStoreSync request);
  void AnswerPoll(size_t host, AnswerStoreSync answer);
  bool IsWhole(const Poll& poll) const;
  // Whether a call ends unanswered, or amid its answer.
  bool HasTimedOut(int64_t began,
                   const AnswerTimeouts& timeouts,
                   const std::optional<TransferId>& transfer) const;
  void EndPolls();
  std::vector<FeedRow> RowsSince(FeedKind feed, uint64_t version) const;
  std::optional<size_t> FindHost(const base::SocketAddress& address) const;
  size_t CountEndpoint(const std::string& endpoint, EndpointState state) const;

  uint64_t seed_ = 0;
  std::vector<Host> hosts_;
  std::vector<LateWrite> late_writes_;
  std::vector<LostWrite> lost_writes_;
  uint64_t write_count_ = 0;
  std::vector<Message> messages_;
  std::map<PeerExchangeId, Poll> polls_;
  std::optional<SimulatedLinks> links_;
  Tables tables_;
  Tables copy_;
  StoreEra era_ = 0;
  uint64_t last_exchange_ = 0;
  uint64_t poll_count_ = 0;
  int64_t now_ms_ = 1;
};

}  // namespace bilberry::forward
