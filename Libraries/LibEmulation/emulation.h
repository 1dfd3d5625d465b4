#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibEmulation/deadly_callers.h"
#include "LibEmulation/emulated_callers.h"
#include "LibEmulation/emulated_cold_endpoints.h"
#include "LibEmulation/emulated_crashes.h"
#include "LibEmulation/emulated_cuts.h"
#include "LibEmulation/emulated_engine.h"
#include "LibEmulation/emulated_notices.h"
#include "LibEmulation/emulated_piece_endpoint.h"
#include "LibEmulation/emulated_retries.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibEmulation/timeline.h"
#include "LibForward/forward_node.h"

namespace bilberry::emulation {

struct EmulationOptions {
  uint64_t seed = 1;
  // If false, each host makes the stage calls only for its own requests,
  // without sharing them.
  bool shares_calls = true;
};

// Runs a load scenario as a discrete-event simulation: the hosts are real
// ForwardNodes; store, network, endpoints and callers are emulated. The same
// seed gives the same run.
class Emulation {
 public:
  Emulation(LoadScenario scenario, EmulationOptions options);

  Emulation(const Emulation&) = delete;
  Emulation& operator=(const Emulation&) = delete;

  // May be called once.
  EmulationReport Run();

 private:
  struct Host {
    forward::PeerHost self;
    std::unique_ptr<forward::ForwardNode> node;
    bool is_alive = true;
    std::optional<base::TimePoint> wakes_at;
    // The processor has queued work until then.
    base::TimePoint busy_until;
    base::TimePoint
        partitioned_until;  // Partitioned from its peers until then.
    // From then on it must know again what its peers know.
    base::TimePoint in_touch_from;
    uint64_t messages = 0;  // Received from peers.
  };

  // A stage job that one host asked another to run.
  struct PeerJob {
    size_t requester = 0;
    size_t dispatcher = 0;
    forward::JobRequestId id{};
  };

  struct Attempt {
    size_t host = 0;
    base::CallerId caller{};
    EmulatedEngine* engine = nullptr;
    base::AttemptId id;
    std::string request_id;
  };

  // A request that one host has another one carry.
  struct CarriedRequest {
    size_t from = 0;
    size_t carrier = 0;
    base::AttemptId attempt;  // Of the host that passes it on.
    std::string request_id;
  };

  // An answer whose events are emulated one by one.
  struct EmulatedStream {
    uint64_t key = 0;  // In `attempts_`.
    size_t host = 0;
    base::AttemptId attempt;
    forward::AnswerHead head;
    base::Duration delay{};  // One-way, from the engine to the host.
    base::TimePoint last;    // Event.
    base::Duration event_time{};
    base::Duration longest_pause{};
    double events = 1;  // Still to come.
  };

  void AddHosts();
  void AddPieceEndpoints();
  void AddEngines();
  base::ZoneName ZoneOf(size_t index) const;
  HostKind KindOf(uint32_t host) const;
  base::Duration DelayBetween(const base::ZoneName& left,
                              const base::ZoneName& right) const;

  void Deliver(size_t host, forward::Event event);
  void DeliverAfter(base::Duration delay, size_t host, forward::Event event);
  // Runs `work` when the host's processor has completed the work queued before
  // it and then `work_time` of this work.
  void Process(size_t host,
               base::Duration work_time,
               std::function<void()> work);
  base::Duration MessageTimeOf(size_t host) const;
  void ScheduleWakeup(size_t host);
  void SendToHost(forward::ForwardedRequest request);
  std::optional<size_t> DrawLiveHost();
  std::optional<size_t> FindHost(const base::SocketAddress& address) const;
  // Delivers a message between hosts, and counts it.
  void DeliverToPeer(size_t from, size_t to, forward::Event event);

  void Execute(size_t host, const forward::SendAttempt& action);
  // Returns false if the endpoint's process is not the one that the host knows;
  // the host is told so then.
  bool Reaches(size_t host, const forward::SendAttempt& action);
  void Execute(size_t host, const forward::CarryRequest& action);
  void Execute(size_t host, const forward::ProbeEndpoint& action);
  void Execute(size_t host, const forward::StreamToCaller& action);
  // Answers the host that passed the request on.
  void AnswerCarried(const CarriedRequest& carried, forward::Event answer);
  // Removes the request of a caller for whom a host passed it on; empty if the
  // caller is none such.
  std::optional<CarriedRequest> TakeCarried(base::CallerId caller);
  void Execute(size_t host, const forward::CancelAttempt& action);
  void Execute(size_t host, const forward::CheckEndpointHealth& action);
  void Execute(size_t host, const forward::AnswerCaller& action);
  void Execute(size_t host, const forward::ForwardAnswer& action);
  void Execute(size_t host, const forward::BeginStream& action);
  void Execute(size_t host, const forward::EndStream& action);
  void Execute(size_t host, const forward::CallStage& action);
  void Execute(size_t host, const forward::FreeResults& action);
  void Execute(size_t host, const forward::SendPeerJob& action);
  void Execute(size_t host, const forward::CancelPeerJob& action);
  void Execute(size_t host, const forward::AnswerPeerJob& action);
  void Execute(size_t host, const forward::ReleasePeerResults& action);
  void Execute(size_t host, const forward::ProbePeer& action);
  void Execute(size_t host, const forward::RequestPermit& action);
  void Execute(size_t host, const forward::AnswerPermit& action);
  void Execute(size_t host, const forward::RequestPlacement& action);
  void Execute(size_t host, const forward::AnswerPlacement& action);
  void Execute(size_t host, const forward::SendPlacementReport& action);
  void Execute(size_t host, const forward::SendLimitsToPeer& action);
  void Execute(size_t host, const forward::SendNoticesToPeer& action);
  void Execute(size_t host, const forward::RequestStoreSync& action);
  void Execute(size_t host, const forward::AnswerStoreSync& action);
  void Execute(size_t host, const forward::ListTable& action);
  void Execute(size_t host, const forward::FollowTable& action);
  void Execute(size_t host, const forward::WriteOwnRow& action);
  void Execute(size_t host, const forward::ReadStreamRows& action);
  void Execute(size_t host, const forward::WriteStreamRows& action);
  void Execute(size_t host, const forward::WriteLog& action);
  // Ignores all other actions; they don't affect the emulation.
  template <typename T>
  void Execute(size_t host, const T& action) {
    static_cast<void>(host);
    static_cast<void>(action);
  }

  // Delivers the notice in an endpoint's answer to a request sent at `sent_at`.
  void DeliverNotice(size_t host,
                     const forward::ListedEndpoint& endpoint,
                     base::TimePoint sent_at,
                     base::Duration delay);
  void EndAttempt(uint64_t number);
  // Ends the answer at `time`, unless its attempt has ended by then.
  void EndAnswerAt(base::TimePoint time, const EmulatedStream& stream);
  // Emits the stream's next event once it is due.
  void ContinueStream(EmulatedStream stream);
  void NoteSent(const forward::ForwardedRequest& request);
  uint64_t VersionOf(forward::FeedKind feed) const;
  std::vector<forward::FeedRow> RowsOf(forward::FeedKind feed) const;
  PieceWork Inspect(const EmulatedPieceEndpoint& producer,
                    const forward::PieceRequest& piece);
  // Time to fetch these results; empty when one no longer exists.
  std::optional<base::Duration> Fetch(
      const std::vector<forward::StageResult>& results,
      const base::ZoneName& reader);
  void CrashHost(size_t host);
  void BeginEngineEnds();
  // The engine crashes at this time, unless the attempt has ended by then.
  void CrashEngine(uint64_t attempt, base::TimePoint at);
  // Breaks all attempts at the engine, which is away for some time.
  void EndEngine(EmulatedEngine& engine);
  void CrashPieceEndpoint(size_t host,
                          EmulatedPieceEndpoint& producer,
                          const forward::StageCall& call,
                          const std::string& request_id);
  void RestartLater(const base::EndpointName& endpoint);
  void Freeze(const HostFreeze& freeze);
  bool IsPartitioned(size_t host) const;
  bool IsCut(size_t host) const { return cuts_.IsCut(host, timeline_.now()); }
  // How long a host that is cut off takes to notice it at a new connection.
  base::Duration ConnectTimeOf(size_t host) const;
  // Breaks the attempts of a host whose cut begins.
  void BreakAttempts(size_t host);
  bool IsInTouch(size_t host) const;

  LoadScenario scenario_;
  EmulationOptions options_;
  EmulationReport report_;
  Timeline timeline_;
  base::Random random_;
  std::shared_ptr<const forward::ForwardConfiguration> configuration_;
  std::vector<Host> hosts_;
  std::vector<std::unique_ptr<EmulatedPieceEndpoint>> piece_endpoints_;
  std::map<base::SocketAddress, EmulatedPieceEndpoint*>
      piece_endpoints_by_address_;
  std::vector<std::unique_ptr<EmulatedEngine>> engines_;
  std::map<base::EndpointName, EmulatedEngine*> engines_by_name_;
  EmulatedNotices notices_{scenario_, report_};
  EmulatedRetries retries_{scenario_, report_};
  EmulatedColdEndpoints cold_endpoints_{scenario_, report_};
  EmulatedCrashes crashes_{scenario_, report_};
  EmulatedCuts cuts_{scenario_, report_};
  EmulatedCallers callers_;
  DeadlyCallers deadly_callers_{timeline_, scenario_, callers_, crashes_};
  std::map<base::CallerId, size_t> host_of_caller_;
  std::map<uint64_t, Attempt> attempts_;
  std::map<base::CallerId, CarriedRequest> carried_;
  uint64_t last_carried_ = 0;
  std::map<forward::PeerExchangeId, PeerJob> peer_jobs_;
  // Hosts that wait for the answer to a permit request.
  std::map<forward::PeerExchangeId, std::pair<size_t, forward::PermitRequestId>>
      permit_requesters_;
  std::map<forward::PeerExchangeId,
           std::pair<size_t, forward::PlacementRequestId>>
      placement_requesters_;
  // Hosts that wait for a store sync response.
  std::map<forward::PeerExchangeId, std::pair<size_t, forward::StoreSyncKind>>
      store_sync_requesters_;
  std::set<uint64_t> open_probes_;  // Unanswered probes.
  std::map<std::pair<size_t, forward::JobRequestId>, forward::PeerExchangeId>
      exchanges_;
  std::vector<forward::PeerHost> host_rows_;
  std::set<std::string> prefilled_parts_;
  std::map<base::CallerId, std::string> request_of_caller_;
  // When requests that need no stage arrived, until they are sent.
  std::map<base::CallerId, base::TimePoint> unsent_;
  uint64_t last_exchange_ = 0;
  uint64_t last_probe_ = 0;
  uint64_t store_calls_ = 0;
};

}  // namespace bilberry::emulation
