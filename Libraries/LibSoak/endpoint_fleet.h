#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibSoak/event_trail.h"
#include "LibSoak/invariant_checker.h"
#include "LibTransport/timer_queue.h"
#include "Standins/platform_messages.h"
#include "Standins/row_store_standin.h"

namespace bilberry::soak {

// A request whose target contains this text crashes the endpoints that run it.
inline constexpr const char* kDeadlyMark = "deadly-";

// Endpoints of all pools, which join, leave and fail, and write their entries
// to the store.
class EndpointFleet {
 public:
  static base::Result<std::unique_ptr<EndpointFleet>> Create(
      transport::Reactor& reactor,
      standins::RowStoreStandin& store,
      InvariantChecker& checker,
      EventTrail& trail,
      std::string ip,
      AnswerShape shape);

  // Records the requests that have reached endpoints since the last call.
  void Poll(base::TimePoint now);

  // `target` selects the endpoint. Endpoints that leave or die are replaced.
  void Leave(uint64_t target);
  void Die(uint64_t target, std::chrono::milliseconds lasts);
  void Misbehave(uint64_t target, std::chrono::milliseconds lasts);

 private:
  struct Member {
    std::unique_ptr<standins::PieceEndpointStandin> endpoint;
    std::string pool;
    std::string zone;
    standins::EntryState state = standins::EntryState::kReady;
    uint64_t sequence = 0;
    size_t polled = 0;  // Number of arrivals already recorded.
  };

  EndpointFleet(transport::Reactor& reactor,
                standins::RowStoreStandin& store,
                InvariantChecker& checker,
                EventTrail& trail,
                std::string ip,
                AnswerShape shape);

  base::Result<void> Add(const std::string& pool,
                         const std::string& zone,
                         uint16_t port);
  // Reuses a free address if there is one.
  void AddAgain(const std::string& pool, const std::string& zone);
  void FreeLater(uint16_t port);
  void NoteRestarted(const base::EndpointName& earlier,
                     const std::string& name);
  void EndOutageOf(const Member& member);
  void Write(Member& member);
  void WriteAll();
  void PollMember(Member& member, base::TimePoint now);
  // Also removes the endpoint's entry from the store.
  void Remove(const std::string& name);
  Member* Find(const std::string& name);
  // Selects one of the endpoints in service.
  Member& Pick(uint64_t target);

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  standins::RowStoreStandin& store_;
  InvariantChecker& checker_;
  EventTrail& trail_;
  std::string ip_;
  AnswerShape shape_;
  uint64_t last_number_ = 0;
  std::vector<uint16_t> free_ports_;
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace bilberry::soak
