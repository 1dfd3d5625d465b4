// Prints the memory, messages and store requests of one entry host at the
// planned deployment size. All figures are counts of bytes and messages, not
// times, so that they don't depend on the machine's load.

#include <malloc.h>

#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <set>

#include "Fakes/node_group.h"
#include "Fakes/node_harness.h"
#include "LibDeclare/configuration_parser.h"
#include "LibReport/service_recorder.h"
#include "LibTransport/json_text.h"
#include "LibTransport/node_shell.h"
#include "LibTransport/platform_codec.h"
#include "LibTransport/report_codec.h"
#include "Standins/free_address.h"
#include "Standins/platform_standin.h"
#include "Standins/relay.h"
#include "planned_deployment.h"

namespace bilberry::sizes {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds kDiscoveryTime{5};
constexpr std::chrono::seconds kIdle{60};
constexpr std::chrono::seconds kWireTime{10};
constexpr std::chrono::milliseconds kTurn{20};
constexpr int kMaxPropagationSeconds = 60;
constexpr int kRuns = 1000;
constexpr int kBookings = 200;

void Print(const std::string& name, double value, const char* unit) {
  std::cout << name << ": " << value << " " << unit << "\n";
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the heap growth caused by the object that `make` returns.
template <typename F>
double HeapOf(F make) {
  const size_t before = HeapBytes();
  const auto kept = make();
  return static_cast<double>(HeapBytes()) - static_cast<double>(before);
}

void PrintDocuments() {
  const std::string document = PlannedDocument();
  Print("configuration document", static_cast<double>(document.size()),
        "bytes");
  Print("configuration in memory",
        HeapOf([&] { return declare::ParseConfiguration(document); }), "bytes");
}

void PrintHostList() {
  fakes::PlatformStore store;
  PutPlannedDeployment(store);
  const auto answer = store.Apply(base::PollHosts{});
  size_t bytes = 0;
  const auto& changed = std::get<base::HostsPolled>(answer).changed;
  for (const base::HostEntry& entry : changed)
    bytes += transport::PrintCompact(transport::EncodeHost(entry)).size() + 1;
  Print("host list entry on the wire",
        static_cast<double>(bytes) / static_cast<double>(changed.size()),
        "bytes");
}

report::ServiceRecorder FullRecorder() {
  report::ServiceRecorder recorder;
  for (int i = 0; i < kTeams; ++i) {
    for (const declare::Rank rank : declare::kRanks) {
      const std::string pipeline = "pipeline-" + std::to_string(i % kPipelines);
      report::EndedRun run{{pipeline},
                           {"team-" + std::to_string(i)},
                           rank,
                           report::RunOutcome::kMet,
                           20ms * (1 + i % 100),
                           {}};
      for (int stage = 0; stage < 6; ++stage)
        run.attempts.push_back({{"stage-" + std::to_string(stage)},
                                static_cast<size_t>(stage),
                                100us * (1 + i % 50),
                                1ms * (1 + i % 400)});
      recorder.Record(run, base::TimePoint(1s));
    }
  }
  return recorder;
}

void PrintReport() {
  Print("report's counts in memory", HeapOf(FullRecorder), "bytes");
  const auto report = FullRecorder().Report(base::TimePoint(1s));
  Print("report on the wire",
        static_cast<double>(
            transport::PrintCompact(transport::EncodeReport(report)).size()),
        "bytes");
}

// Counts in virtual time, with a fake of the platform.
void PrintNode() {
  fakes::PlatformStore store;
  PutPlannedDeployment(store);
  const size_t before = HeapBytes();
  fakes::NodeHarness harness(store, fakes::MakeOptions("entry-0", 1));
  harness.Advance(kDiscoveryTime);
  Print("entry host's state in memory, idle",
        static_cast<double>(HeapBytes() - before), "bytes");

  const uint64_t reads = store.counts().reads;
  harness.TakePeerCalls();
  harness.Advance(kIdle);
  const auto seconds = static_cast<double>(kIdle.count());
  Print("platform reads, idle",
        static_cast<double>(store.counts().reads - reads) / seconds,
        "a second");
  const auto calls = harness.TakePeerCalls();
  std::set<base::SocketAddress> peers;
  for (const node::SendToPeer& call : calls)
    peers.insert(call.address);
  Print("peer calls made, idle", static_cast<double>(calls.size()) / seconds,
        "a second");
  Print("different peers called in a minute", static_cast<double>(peers.size()),
        "hosts");

  const size_t idle = HeapBytes();
  const std::string body(1024, 'x');
  for (int i = 0; i < kRuns; ++i)
    harness.Call("single", std::nullopt, body);
  const auto sent = harness.TakeSent();
  Print("runs sent at once", static_cast<double>(sent.size()), "of 1000");
  Print("one run in flight, with a body of 1,024 bytes",
        static_cast<double>(HeapBytes() - idle) / kRuns, "bytes");
}

void PrintBookings() {
  fakes::PlatformStore store;
  PutPlannedDeployment(store);
  fakes::NodeHarness harness(store, fakes::MakeOptions("entry-0", 1));
  harness.Advance(kDiscoveryTime);
  const fakes::PlatformCounts before = store.counts();
  for (int i = 0; i < kBookings; ++i) {
    harness.Call("booking", "key-" + std::to_string(i));
    harness.Advance(10ms);
    for (const node::SendToEndpoint& sent : harness.TakeSent())
      harness.AnswerAttempt(sent, "{}");
  }
  harness.Advance(1s);
  const fakes::PlatformCounts& after = store.counts();
  Print(
      "table transactions of a booking, 100 a second",
      static_cast<double>(after.transactions - before.transactions) / kBookings,
      "");
  Print(
      "table rows written by a booking",
      static_cast<double>(after.rows_written - before.rows_written) / kBookings,
      "");
}

size_t CountAt(fakes::NodeGroup& group, uint64_t revision) {
  size_t count = 0;
  for (size_t i = 0; i < group.size(); ++i) {
    if (group.at(i).node().Status().revision == base::Revision{revision})
      ++count;
  }
  return count;
}

// In virtual time: a change that only one host has read from the platform
// reaches the others by gossip.
void PrintPropagation() {
  fakes::PlatformStore store;
  fakes::PutSmallDeployment(store);
  fakes::NodeGroup group(store, kEntryHosts);
  group.Advance(kDiscoveryTime);
  Print("hosts with the first revision", static_cast<double>(CountAt(group, 1)),
        "of 340");
  for (size_t i = 1; i < group.size(); ++i)
    group.at(i).set_behavior(fakes::PlatformBehavior::kUnreachable);
  PutSecondRevision(store);
  int seconds = 0;
  while (CountAt(group, 2) < group.size() && seconds < kMaxPropagationSeconds) {
    group.Advance(1s);
    ++seconds;
  }
  Print("hosts with a change that one had of the platform",
        static_cast<double>(CountAt(group, 2)), "of 340");
  Print("time until then, by peers alone", seconds, "s of virtual time");
}

// Two entry hosts over sockets, with a relay in front of the platform and of
// each host's peer port.
void PrintWire() {
  transport::Reactor reactor;
  auto platform = standins::PlatformStandin::Create(reactor, {"127.0.0.1", 0},
                                                    {"127.0.0.1", 0})
                      .value();
  fakes::PutSmallDeployment(platform->store());
  auto to_platform =
      standins::Relay::Create(reactor, {"127.0.0.1", 0}, platform->address())
          .value();
  node::NodeOptions options[] = {fakes::MakeOptions("entry-1", 1),
                                 fakes::MakeOptions("entry-2", 2)};
  std::vector<std::unique_ptr<standins::Relay>> to_peers;
  for (node::NodeOptions& it : options) {
    it.settings.callers = standins::FreeAddress(reactor);
    it.settings.peers = standins::FreeAddress(reactor);
    it.settings.platform = to_platform->address();
    to_peers.push_back(
        standins::Relay::Create(reactor, {"127.0.0.1", 0}, it.settings.peers)
            .value());
  }
  std::vector<std::unique_ptr<transport::NodeShell>> shells;
  for (size_t i = 0; i < 2; ++i) {
    options[i].settings.seed_peers = {to_peers[1 - i]->address()};
    shells.push_back(transport::NodeShell::Create(reactor, options[i]).value());
  }
  const auto run_for = [&reactor](std::chrono::seconds duration) {
    const base::TimePoint end = reactor.Now() + duration;
    while (reactor.Now() < end)
      reactor.RunOnce(kTurn);
  };
  run_for(kDiscoveryTime);
  const uint64_t platform_before = to_platform->passed_bytes();
  const uint64_t peers_before =
      to_peers[0]->passed_bytes() + to_peers[1]->passed_bytes();
  run_for(kWireTime);
  const double host_seconds = 2.0 * static_cast<double>(kWireTime.count());
  const uint64_t peer_bytes =
      to_peers[0]->passed_bytes() + to_peers[1]->passed_bytes() - peers_before;
  Print("bytes with the platform, idle, both ways",
        static_cast<double>(to_platform->passed_bytes() - platform_before) /
            host_seconds,
        "a second and host");
  // Each call is counted at the calling and at the answering host.
  Print("bytes with peers, idle, calls made and answered",
        2.0 * static_cast<double>(peer_bytes) / host_seconds,
        "a second and host");
}

}  // namespace
}  // namespace bilberry::sizes

int main(int argc, char** argv) {
  cxxopts::Options options(
      "controlsizes", "Counts an entry host's state and control messages.");
  options.add_options()("help", "Print this")("version", "Print the version");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (flags.count("version") > 0) {
      std::cout << "controlsizes " BILBERRY_VERSION "\n";
      return 0;
    }
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "controlsizes: " << exception.what() << "\n";
    return 2;
  }
  bilberry::sizes::PrintDocuments();
  bilberry::sizes::PrintHostList();
  bilberry::sizes::PrintReport();
  bilberry::sizes::PrintNode();
  bilberry::sizes::PrintBookings();
  bilberry::sizes::PrintPropagation();
  bilberry::sizes::PrintWire();
  return 0;
}
