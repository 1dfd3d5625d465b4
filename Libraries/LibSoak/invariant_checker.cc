#include "LibSoak/invariant_checker.h"

#include <algorithm>

namespace bilberry::soak {

namespace {

constexpr int kSuccess = 200;

// Statuses that guarantee that the request has not run and never will.
bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsDenial(int status) {
  return status == 401 || status == 403 || status == 404;
}

std::string OutcomeOf(const ObservedAnswer& answer) {
  return answer.end == AnswerEnd::kWhole ? std::to_string(answer.status)
                                         : std::string(ToText(answer.end));
}

}  // namespace

void InvariantChecker::Report(Invariant invariant,
                              base::TimePoint now,
                              const std::string& request,
                              std::string detail) {
  violations_.push_back({invariant, now, request, std::move(detail)});
}

void InvariantChecker::NoteTime(Invariant invariant, base::Duration time) {
  base::Duration& worst = worst_[invariant];
  worst = std::max(worst, time);
}

uint64_t InvariantChecker::checks(Invariant invariant) const {
  const auto it = checks_.find(invariant);
  return it == checks_.end() ? 0 : it->second;
}

base::Duration InvariantChecker::worst(Invariant invariant) const {
  const auto it = worst_.find(invariant);
  return it == worst_.end() ? base::Duration::zero() : it->second;
}

bool InvariantChecker::IsHostUndisturbed(const std::string& host,
                                         base::TimePoint since) const {
  return any_.WasUndisturbed(host, since - bounds_.calm) &&
         any_.WasUndisturbed(kStorePart, since - bounds_.calm);
}

void InvariantChecker::NoteSent(SentRequest request) {
  const std::string id = request.id;
  requests_[id].request = std::move(request);
}

void InvariantChecker::NoteRun(const ObservedRun& run) {
  Count(Invariant::kRunMatchesRequest);
  const auto it = requests_.find(run.request);
  if (it == requests_.end()) {
    Report(Invariant::kRunMatchesRequest, run.at, run.request,
           "no caller sent it");
    return;
  }
  TrackedRequest& tracked = it->second;
  const SentRequest& request = tracked.request;
  if (run.method != request.method || run.target != request.target)
    Report(Invariant::kRunMatchesRequest, run.at, request.id,
           "it ran as " + run.method + " " + run.target);
  if (run.pool != PoolOf(request.kind))
    Report(Invariant::kRunMatchesRequest, run.at, request.id,
           "it runs in " + run.pool);
  ++tracked.runs;
  if (MayRunOnceOnly(request.kind)) {
    Count(Invariant::kAtMostOnce);
    if (tracked.runs > 1)
      Report(Invariant::kAtMostOnce, run.at, request.id,
             "run " + std::to_string(tracked.runs) + " at " + run.endpoint);
    if (tracked.refusal)
      Report(Invariant::kRefusalMeansNotRun, run.at, request.id,
             "it runs at " + run.endpoint + " after " +
                 std::to_string(*tracked.refusal));
  }
  if (request.is_deadly)
    CheckContained(request, run);
  CheckKeyOfRun(request, run);
  CheckEndpointOfRun(request, run);
}

// A host that was disturbed may not have told the others, or not been told.
void InvariantChecker::CheckContained(const SentRequest& request,
                                      const ObservedRun& run) {
  std::vector<base::TimePoint>& crashes = crashes_[request.target];
  crashes.push_back(run.at);
  if (crashes.size() < bounds_.crashes)
    return;
  const base::TimePoint last_allowed = crashes[bounds_.crashes - 1];
  if (!any_.WereOthersUndisturbed(kEndpointsPart,
                                  crashes.front() - bounds_.calm))
    return;
  Count(Invariant::kContained);
  const base::Duration since = run.at - last_allowed;
  NoteTime(Invariant::kContained, since);
  if (since > bounds_.spread)
    Report(Invariant::kContained, run.at, request.id,
           request.target + " crashed " + run.endpoint + " as endpoint " +
               std::to_string(crashes.size()) + ", " +
               std::to_string(since.count()) + " us after the last allowed");
}

void InvariantChecker::CheckKeyOfRun(const SentRequest& request,
                                     const ObservedRun& run) {
  const auto it = withdrawn_.find(request.key);
  if (it == withdrawn_.end() || !IsHostUndisturbed(request.host, request.sent))
    return;
  Count(Invariant::kWithdrawnKey);
  const base::Duration since = request.sent - it->second;
  NoteTime(Invariant::kWithdrawnKey, since);
  if (since > bounds_.configuration)
    Report(Invariant::kWithdrawnKey, run.at, request.id,
           request.key + " was withdrawn " + std::to_string(since.count()) +
               " us before it was sent");
}

void InvariantChecker::CheckEndpointOfRun(const SentRequest& request,
                                          const ObservedRun& run) {
  if (!IsHostUndisturbed(request.host, request.sent))
    return;
  Count(Invariant::kLeavingEndpoint);
  const auto it = leaving_.find(run.endpoint);
  if (it == leaving_.end())
    return;
  const base::Duration since = request.sent - it->second;
  NoteTime(Invariant::kLeavingEndpoint, since);
  if (since > bounds_.drain)
    Report(Invariant::kLeavingEndpoint, run.at, request.id,
           run.endpoint + " left " + std::to_string(since.count()) +
               " us before it was sent");
}

void InvariantChecker::NoteAnswer(const ObservedAnswer& answer) {
  const auto it = requests_.find(answer.request);
  if (it == requests_.end())
    return;
  TrackedRequest& tracked = it->second;
  const SentRequest& request = tracked.request;
  ++outcomes_[std::string(ToText(request.kind)) + " " + OutcomeOf(answer)];
  Count(Invariant::kAnswerMatchesRequest);
  if (answer.status == kSuccess) {
    Count(Invariant::kWholeAnswer);
    if (IsStream(request.kind)) {
      Count(Invariant::kStreamOrder);
      Count(Invariant::kOneVersion);
    }
  }
  const auto broken = CheckAnswer(request, answer, shape_);
  if (broken)
    Report(broken->invariant, answer.ended, request.id, broken->detail);
  CheckRefusal(tracked, answer);
  CheckCut(tracked, answer);
  CheckLateness(request, answer);
  CheckDenial(request, answer);
  if (!broken && answer.status == kSuccess && answer.end == AnswerEnd::kWhole)
    NoteSuccess(request, answer.ended);
}

void InvariantChecker::CheckRefusal(TrackedRequest& tracked,
                                    const ObservedAnswer& answer) {
  if (answer.end != AnswerEnd::kWhole || answer.is_sealed ||
      !IsNotRunStatus(answer.status) || !MayRunOnceOnly(tracked.request.kind))
    return;
  Count(Invariant::kRefusalMeansNotRun);
  tracked.refusal = answer.status;
  if (tracked.runs > 0)
    Report(Invariant::kRefusalMeansNotRun, answer.ended, answer.request,
           "it has run, and is told " + std::to_string(answer.status));
}

// The host is responsible only for requests that it passed on to an endpoint; a
// request that arrives while the host closes the connection was not read.
void InvariantChecker::CheckCut(const TrackedRequest& tracked,
                                const ObservedAnswer& answer) {
  const SentRequest& request = tracked.request;
  if (tracked.runs == 0 || answer.end == AnswerEnd::kGivenUp ||
      !unplanned_.WereAllUndisturbed(request.sent - bounds_.calm))
    return;
  Count(Invariant::kNoInterruption);
  if (answer.end == AnswerEnd::kCut || answer.end == AnswerEnd::kNone)
    Report(Invariant::kNoInterruption, answer.ended, request.id,
           "its connection at " + request.host + " ended after " +
               std::to_string((answer.ended - request.sent).count()) + " us");
}

void InvariantChecker::CheckLateness(const SentRequest& request,
                                     const ObservedAnswer& answer) {
  if (!unplanned_.WereAllUndisturbed(request.sent - bounds_.calm))
    return;
  Count(Invariant::kAnswered);
  const base::Duration time = answer.ended - request.sent;
  NoteTime(Invariant::kAnswered, time);
  if (time > request.time_left + bounds_.lateness)
    Report(Invariant::kAnswered, answer.ended, request.id,
           std::string(ToText(answer.end)) + " after " +
               std::to_string(time.count()) + " us");
}

void InvariantChecker::CheckDenial(const SentRequest& request,
                                   const ObservedAnswer& answer) {
  if (withdrawn_.contains(request.key)) {
    // A request accepted in spite of the withdrawn key is detected where it
    // runs.
    if (IsDenial(answer.status))
      Count(Invariant::kWithdrawnKey);
    return;
  }
  const auto added = added_.find(request.key);
  const bool is_in_force =
      added == added_.end() ||
      (request.sent - added->second > bounds_.configuration &&
       IsHostUndisturbed(request.host, request.sent));
  if (!is_in_force)
    return;
  Count(Invariant::kKnownKey);
  if (IsDenial(answer.status) && !answer.is_sealed)
    Report(Invariant::kKnownKey, answer.ended, request.id,
           request.key + " is told " + std::to_string(answer.status));
}

void InvariantChecker::NoteStrayBytes(const std::string& host,
                                      size_t bytes,
                                      base::TimePoint now) {
  Report(Invariant::kAnswerMatchesRequest, now, "",
         std::to_string(bytes) + " bytes from " + host + " that nobody asked");
}

void InvariantChecker::BeginPlannedWork(const std::string& part) {
  any_.Begin(part);
}

void InvariantChecker::EndPlannedWork(const std::string& part,
                                      base::TimePoint now) {
  any_.End(part, now);
}

void InvariantChecker::BeginDisturbance(const std::string& part) {
  any_.Begin(part);
  unplanned_.Begin(part);
}

void InvariantChecker::EndDisturbance(const std::string& part,
                                      base::TimePoint now) {
  any_.End(part, now);
  unplanned_.End(part, now);
}

void InvariantChecker::NoteKeyAdded(const std::string& key,
                                    base::TimePoint now) {
  added_[key] = now;
}

void InvariantChecker::NoteKeyWithdrawn(const std::string& key,
                                        base::TimePoint now) {
  withdrawn_[key] = now;
}

void InvariantChecker::NoteLeaving(const std::string& endpoint,
                                   base::TimePoint now) {
  leaving_[endpoint] = now;
}

void InvariantChecker::NoteStopped(const std::string& host,
                                   int exit_code,
                                   base::TimePoint ordered,
                                   base::TimePoint now) {
  if (!unplanned_.WasUndisturbed(host, ordered))
    return;
  Count(Invariant::kStop);
  NoteTime(Invariant::kStop, now - ordered);
  if (exit_code != 0)
    Report(Invariant::kStop, now, "",
           host + " ended with " + std::to_string(exit_code));
  else if (now - ordered > bounds_.grace)
    Report(Invariant::kStop, now, "",
           host + " took " + std::to_string((now - ordered).count()) + " us");
}

void InvariantChecker::NoteUnexpectedExit(const std::string& host,
                                          const std::string& how,
                                          base::TimePoint now) {
  Report(Invariant::kNoUnexpectedExit, now, "", host + " " + how);
}

bool InvariantChecker::is_undisturbed(base::TimePoint now) const {
  return any_.WereAllUndisturbed(now);
}

void InvariantChecker::BeginRecovery(const std::set<std::string>& hosts,
                                     base::TimePoint now) {
  recovery_began_ = now;
  for (const std::string& host : hosts) {
    for (const auto& [kind, name] : kRequestKinds)
      missing_.insert({host, kind});
  }
}

void InvariantChecker::NoteSuccess(const SentRequest& request,
                                   base::TimePoint now) {
  if (missing_.empty() || request.sent < recovery_began_ ||
      missing_.erase({request.host, request.kind}) == 0)
    return;
  Count(Invariant::kRecovery);
  NoteTime(Invariant::kRecovery, now - recovery_began_);
}

void InvariantChecker::CheckRecovery(base::TimePoint now) {
  if (now - recovery_began_ <= bounds_.recovery)
    return;
  for (const auto& [host, kind] : missing_)
    Report(Invariant::kRecovery, now, "",
           host + " has not served " + std::string(ToText(kind)) + " again");
  missing_.clear();
}

}  // namespace bilberry::soak
