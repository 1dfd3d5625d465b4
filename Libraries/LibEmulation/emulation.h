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
#include "LibEmulation/emulated_callers.h"
#include "LibEmulation/emulated_cold_endpoints.h"
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
  // Otherwise each host makes all calls for its own requests.
  bool shares_calls = true;
};

// Plays a sheet in virtual time: the hosts are the real ForwardNodes; store,
// network, endpoints and callers are emulated. The same seed gives the same
// run.
class Emulation {
 public:
  Emulation(LoadScenario scenario, EmulationOptions options);

  Emulation(const Emulation&) = delete;
  Emulation& operator=(const Emulation&) = delete;

  // Once.
  EmulationReport Run();

 private:
  struct Host {
    forward::PeerHost self;
    std::unique_ptr<forward::ForwardNode> node;
    bool is_alive = true;
    std::optional<base::TimePoint> wakes_at;
    // Until when its processor has work.
    base::TimePoint busy_until;
    base::TimePoint cut_until;  // From its peers.
    uint64_t messages = 0;      // Of peers.
  };

  // A question of one host to another.
  struct Question {
    size_t asker = 0;
    size_t asked = 0;
    forward::JobRequestId ask{};
  };

  struct Attempt {
    size_t host = 0;
    base::CallerId caller{};
    EmulatedEngine* engine = nullptr;
  };

  void AddHosts();
  void AddPieceEndpoints();
  void AddEngines();
  base::ZoneName ZoneOf(size_t index) const;
  HostKind KindOf(uint32_t host) const;
  base::Duration DelayBetween(const base::ZoneName& left,
                              const base::ZoneName& right) const;

  void Feed(size_t host, forward::Event event);
  void FeedAfter(base::Duration delay, size_t host, forward::Event event);
  // Does `work` when the host's processor comes to it, and is done with it.
  void Process(size_t host,
               base::Duration work_time,
               std::function<void()> work);
  base::Duration MessageTimeOf(size_t host) const;
  void ScheduleWakeup(size_t host);
  void SendToHost(forward::ForwardedRequest request);
  std::optional<size_t> DrawLiveHost();
  std::optional<size_t> FindHost(const base::SocketAddress& address) const;
  // Delivers between hosts, and counts.
  void FeedPeer(size_t from, size_t to, forward::Event event);

  void Do(size_t host, const forward::SendAttempt& action);
  void Do(size_t host, const forward::CancelAttempt& action);
  void Do(size_t host, const forward::AnswerCaller& action);
  void Do(size_t host, const forward::BeginStream& action);
  void Do(size_t host, const forward::EndStream& action);
  void Do(size_t host, const forward::CallStage& action);
  void Do(size_t host, const forward::FreeResults& action);
  void Do(size_t host, const forward::SendPeerJob& action);
  void Do(size_t host, const forward::CancelPeerJob& action);
  void Do(size_t host, const forward::AnswerPeerJob& action);
  void Do(size_t host, const forward::ReleasePeerResults& action);
  void Do(size_t host, const forward::ProbePeer& action);
  void Do(size_t host, const forward::RequestPermit& action);
  void Do(size_t host, const forward::AnswerPermit& action);
  void Do(size_t host, const forward::SendLimitsToPeer& action);
  void Do(size_t host, const forward::SendNoticesToPeer& action);
  void Do(size_t host, const forward::RequestStoreSync& action);
  void Do(size_t host, const forward::AnswerStoreSync& action);
  void Do(size_t host, const forward::ListTable& action);
  void Do(size_t host, const forward::FollowTable& action);
  void Do(size_t host, const forward::WriteOwnRow& action);
  void Do(size_t host, const forward::WriteLog& action);
  // Nothing that the emulation plays depends on the others.
  template <typename T>
  void Do(size_t host, const T& action) {
    static_cast<void>(host);
    static_cast<void>(action);
  }

  // Hands on what an endpoint's answer to what was sent at `asked` says of it.
  void FeedNotice(size_t host,
                  const forward::ListedEndpoint& endpoint,
                  base::TimePoint asked,
                  base::Duration way);
  void EndAttempt(uint64_t number);
  uint64_t VersionOf(forward::FeedKind feed) const;
  std::vector<forward::FeedRow> RowsOf(forward::FeedKind feed) const;
  PieceWork Inspect(const EmulatedPieceEndpoint& maker,
                    const forward::PieceRequest& piece);
  // How long reading these results takes; empty when one is gone.
  std::optional<base::Duration> Fetch(
      const std::vector<forward::StageResult>& results,
      const base::ZoneName& reader);
  void LoseHost(size_t host);
  void Freeze(const HostFreeze& freeze);
  bool IsCutOff(size_t host) const;

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
  EmulatedCallers callers_;
  std::map<base::CallerId, size_t> host_of_caller_;
  std::map<uint64_t, Attempt> attempts_;
  std::map<forward::PeerExchangeId, Question> questions_;
  // Who asked for which permit.
  std::map<forward::PeerExchangeId, std::pair<size_t, forward::PermitRequestId>>
      permit_askers_;
  // Who asked for news.
  std::map<forward::PeerExchangeId, size_t> news_askers_;
  std::set<uint64_t> open_probes_;  // Questions whether a host is there.
  std::map<std::pair<size_t, forward::JobRequestId>, forward::PeerExchangeId>
      exchanges_;
  std::vector<forward::PeerHost> host_rows_;
  std::set<std::string> parts_read_;
  uint64_t last_exchange_ = 0;
  uint64_t last_probe_ = 0;
  uint64_t store_calls_ = 0;
};

}  // namespace bilberry::emulation
