#include "LibEmulation/emulated_crashes.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

// After this many crashes the request should reach no endpoint, once all hosts
// have had this long to learn of it.
constexpr size_t kAllowedCrashes = 3;
constexpr std::chrono::seconds kSpreadTime{1};

}  // namespace

void EmulatedCrashes::AddDeadly(const forward::ForwardedRequest& request) {
  deadly_.try_emplace(request.target);
  target_of_id_[request.request_id] = request.target;
  deadly_digests_.insert(forward::DigestOf(std::nullopt, request));
}

bool EmulatedCrashes::CrashesEngines(const std::string& request_id) const {
  return !scenario_.deadly.crashes_pieces && target_of_id_.contains(request_id);
}

bool EmulatedCrashes::CrashesPieceEndpoints(
    const std::string& request_id) const {
  return scenario_.deadly.crashes_pieces && target_of_id_.contains(request_id);
}

void EmulatedCrashes::NoteCrash(const base::EndpointName& endpoint,
                                const std::string& request_id,
                                bool was_host_in_touch,
                                base::TimePoint now) {
  NoteEnd(endpoint);
  // A host that is cut off or frozen can neither tell what it sees nor be told.
  if (!was_host_in_touch)
    return;
  Deadly& deadly = deadly_.at(target_of_id_.at(request_id));
  if (deadly.crashes >= kAllowedCrashes && now > deadly.last_allowed)
    ++report_.late_crashes;
  if (++deadly.crashes == kAllowedCrashes)
    deadly.last_allowed = now + kSpreadTime;
  report_.most_crashes = std::max(report_.most_crashes, deadly.crashes);
}

void EmulatedCrashes::NoteEnd(const base::EndpointName& endpoint) {
  processes_[endpoint].is_down = true;
}

void EmulatedCrashes::NoteBystander(const std::string& request_id) {
  if (!target_of_id_.contains(request_id) &&
      bystanders_.insert(request_id).second)
    ++report_.bystanders;
}

void EmulatedCrashes::NoteRestart(const base::EndpointName& endpoint) {
  Process& process = processes_.at(endpoint);
  ++process.incarnation;
  process.is_down = false;
}

void EmulatedCrashes::NoteAnswered(const std::string& request_id) {
  if (bystanders_.contains(request_id))
    ++report_.bystanders_answered;
}

void EmulatedCrashes::NoteQuarantined(const std::string& digest) {
  if (!deadly_digests_.contains(digest) &&
      innocent_digests_.insert(digest).second)
    ++report_.innocents_quarantined;
}

bool EmulatedCrashes::IsDown(const base::EndpointName& endpoint) const {
  const auto it = processes_.find(endpoint);
  return it != processes_.end() && it->second.is_down;
}

base::Incarnation EmulatedCrashes::IncarnationOf(
    const base::EndpointName& endpoint) const {
  const auto it = processes_.find(endpoint);
  return base::Incarnation{it == processes_.end() ? Process().incarnation
                                                  : it->second.incarnation};
}

forward::HealthCheckResult EmulatedCrashes::Check(
    const forward::ListedEndpoint& known) const {
  if (IsDown(known.name))
    return forward::HealthCheckResult::kNoProcess;
  return IncarnationOf(known.name) == known.incarnation
             ? forward::HealthCheckResult::kSameProcess
             : forward::HealthCheckResult::kOtherProcess;
}

}  // namespace bilberry::emulation
