#include "LibEmulation/emulated_crashes.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

// After this many crashes a request, or the requests with a part, should reach
// no endpoint, once all hosts have had this long to learn of it.
constexpr size_t kAllowedCrashes = 3;
constexpr size_t kAllowedCrashesOfPart = 5;
constexpr std::chrono::seconds kSpreadTime{1};

}  // namespace

void EmulatedCrashes::AddDeadly(const forward::ForwardedRequest& request) {
  deadly_.try_emplace(request.target);
  cause_of_id_[request.request_id] = request.target;
  deadly_digests_.insert(forward::DigestOf(std::nullopt, request));
}

void EmulatedCrashes::AddDeadlyPart(const forward::ForwardedRequest& request,
                                    const std::string& part) {
  deadly_[part].is_part = true;
  cause_of_id_[request.request_id] = part;
}

EmulatedCrashes::Deadly& EmulatedCrashes::CauseOf(
    const std::string& request_id) {
  return deadly_.at(cause_of_id_.at(request_id));
}

size_t EmulatedCrashes::AllowedCrashes(const Deadly& deadly) {
  return deadly.is_part ? kAllowedCrashesOfPart : kAllowedCrashes;
}

bool EmulatedCrashes::HasDeadlyPart(const std::string& request_id) const {
  const auto it = cause_of_id_.find(request_id);
  return it != cause_of_id_.end() && deadly_.at(it->second).is_part;
}

bool EmulatedCrashes::CrashesEngines(const std::string& request_id) const {
  return HasDeadlyPart(request_id) || (!scenario_.deadly.crashes_pieces &&
                                       cause_of_id_.contains(request_id));
}

void EmulatedCrashes::NoteArrival(const std::string& request_id,
                                  bool was_host_in_touch,
                                  base::TimePoint now) {
  if (!was_host_in_touch || !cause_of_id_.contains(request_id))
    return;
  Deadly& deadly = CauseOf(request_id);
  if (deadly.crashes < AllowedCrashes(deadly) || now <= deadly.last_allowed)
    return;
  report_.most_late_arrivals =
      std::max(report_.most_late_arrivals, ++deadly.late_arrivals);
}

bool EmulatedCrashes::CrashesPieceEndpoints(
    const std::string& request_id) const {
  return scenario_.deadly.crashes_pieces && cause_of_id_.contains(request_id) &&
         !HasDeadlyPart(request_id);
}

void EmulatedCrashes::NoteCrash(const base::EndpointName& endpoint,
                                const std::string& request_id,
                                bool was_host_in_touch,
                                base::TimePoint now) {
  NoteEnd(endpoint);
  // A host that is cut off or frozen can neither tell what it sees nor be told.
  if (!was_host_in_touch)
    return;
  Deadly& deadly = CauseOf(request_id);
  const size_t allowed = AllowedCrashes(deadly);
  if (deadly.crashes >= allowed && now > deadly.last_allowed)
    ++report_.late_crashes;
  if (++deadly.crashes == allowed)
    deadly.last_allowed = now + kSpreadTime;
  if (deadly.is_part && deadly.crashes <= allowed)
    report_.parts_known_at = std::max(report_.parts_known_at, now - begins_);
  report_.most_crashes = std::max(report_.most_crashes, deadly.crashes);
}

void EmulatedCrashes::NoteEnd(const base::EndpointName& endpoint) {
  processes_[endpoint].is_down = true;
}

void EmulatedCrashes::NoteBystander(const std::string& request_id) {
  if (!cause_of_id_.contains(request_id) &&
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

void EmulatedCrashes::NotePartQuarantined(const std::string& part) {
  const bool is_deadly = std::ranges::any_of(deadly_, [&](const auto& it) {
    return it.second.is_part && part.ends_with("/" + it.first);
  });
  if (!is_deadly && innocent_parts_.insert(part).second)
    ++report_.innocent_parts_quarantined;
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
