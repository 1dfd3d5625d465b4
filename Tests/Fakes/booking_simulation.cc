#include "Fakes/booking_simulation.h"

#include <algorithm>
#include <utility>

#include "LibBooking/booking_record.h"

namespace bilberry::fakes {

using pipeline::Executed;

namespace {

// Longer than an attempt stays open after its deadline.
constexpr std::chrono::seconds kSettleTime{40};

}  // namespace

BookingSimulation::BookingSimulation()
    : group_((PutSmallDeployment(store_), store_), kHosts),
      frozen_(kHosts, false) {
  for (size_t i = 0; i < kHosts; ++i)
    incarnations_.push_back(i + 1);
  group_.Advance(std::chrono::milliseconds(1));
}

size_t BookingSimulation::Ask(size_t host, const std::string& key) {
  requests_.push_back({host, incarnations_[host], {}, key, {}});
  const size_t place = requests_.size() - 1;
  requests_[place].caller = group_.at(host).Call("booking", key);
  Collect();
  return place;
}

void BookingSimulation::Advance(base::Duration duration) {
  group_.Advance(duration);
  Collect();
}

void BookingSimulation::SetBehavior(size_t host, PlatformBehavior behavior) {
  group_.at(host).set_behavior(behavior);
  if (behavior != PlatformBehavior::kHeld && !frozen_[host])
    group_.at(host).ReleaseHeld();
  Collect();
}

void BookingSimulation::SetBehaviorOfAll(PlatformBehavior behavior) {
  for (size_t i = 0; i < kHosts; ++i)
    SetBehavior(i, behavior);
}

void BookingSimulation::Freeze(size_t host) {
  group_.Freeze(host);
  frozen_[host] = true;
}

void BookingSimulation::Thaw(size_t host) {
  if (!frozen_[host] || group_.condition(host) != HostCondition::kFrozen)
    return;
  frozen_[host] = false;
  group_.Thaw(host);
  group_.at(host).ReleaseHeld();
  for (UndeliveredEvent& it : std::exchange(undelivered_, {}))
    Deliver(it.call, std::move(it.event));
  Collect();
}

bool BookingSimulation::CanReceive(const BookingCall& call) const {
  return incarnations_[call.host] == call.incarnation &&
         group_.condition(call.host) == HostCondition::kRunning;
}

void BookingSimulation::Deliver(size_t call, node::Event event) {
  const BookingCall& it = calls_.at(call);
  if (CanReceive(it))
    group_.at(it.host).Feed(std::move(event));
  else
    undelivered_.push_back({call, std::move(event)});
}

void BookingSimulation::Run(size_t call) {
  BookingCall& it = calls_.at(call);
  if (it.has_run || it.is_refused)
    return;
  ++executions_[*it.sent.idempotency_key];
  it.has_run = true;
}

void BookingSimulation::Answer(size_t call) {
  if (calls_.at(call).is_over)
    return;
  Run(call);
  calls_[call].is_over = true;
  node::EndpointAnswer answer;
  answer.attempt = calls_[call].sent.attempt;
  answer.echoed_attempt = base::ToText(answer.attempt);
  answer.status = 200;
  answer.body = AnswerOf(*calls_[call].sent.idempotency_key);
  Deliver(call, std::move(answer));
  Collect();
}

void BookingSimulation::RefuseNotRun(size_t call) {
  BookingCall& it = calls_.at(call);
  if (it.is_over || it.has_run)
    return;
  it.is_over = true;
  it.is_refused = true;
  node::EndpointAnswer answer;
  answer.attempt = it.sent.attempt;
  answer.echoed_attempt = base::ToText(answer.attempt);
  answer.status = 503;
  answer.reported_not_run = true;
  Deliver(call, std::move(answer));
  Collect();
}

void BookingSimulation::FailToConnect(size_t call) {
  BookingCall& it = calls_.at(call);
  if (it.is_over || it.has_run)
    return;
  it.is_over = true;
  it.is_refused = true;
  Deliver(call, node::EndpointFailure{it.sent.attempt,
                                      node::EndpointFailureKind::kUnreachable,
                                      node::ConnectionAge::kFresh, "refused"});
  Collect();
}

void BookingSimulation::Break(size_t call) {
  if (calls_.at(call).is_over)
    return;
  calls_[call].is_over = true;
  Deliver(call, node::EndpointFailure{calls_[call].sent.attempt,
                                      node::EndpointFailureKind::kBroken,
                                      node::ConnectionAge::kFresh, "broken"});
  Collect();
}

void BookingSimulation::AnswerAll() {
  for (size_t i = 0; i < calls_.size(); ++i)
    Answer(i);
}

void BookingSimulation::BreakAll() {
  for (size_t i = 0; i < calls_.size(); ++i)
    Break(i);
}

void BookingSimulation::CollectExit(size_t host) {
  const node::Actions others = group_.at(host).TakeOthers();
  const bool has_exited =
      std::ranges::any_of(others, [](const node::Action& it) {
        return std::holds_alternative<node::Exit>(it);
      });
  if (!has_exited)
    return;
  Kill(host);
  for (const BookingRequest& request : requests_) {
    if (request.host == host && request.incarnation == incarnations_[host] &&
        request.answers.empty())
      violations_.push_back(request.key + " was unanswered at the host's exit");
  }
}

void BookingSimulation::RequestStop(size_t host) {
  group_.at(host).Feed(node::StopRequested{});
  Collect();
}

void BookingSimulation::Revive(size_t host) {
  if (group_.condition(host) != HostCondition::kDead)
    return;
  incarnations_[host] = ++last_incarnation_;
  frozen_[host] = false;
  group_.Replace(host, last_incarnation_);
  Collect();
}

int BookingSimulation::execution_count() const {
  int sum = 0;
  for (const auto& [key, count] : executions_)
    sum += count;
  return sum;
}

void BookingSimulation::Collect() {
  group_.DeliverPeerCalls();
  for (size_t host = 0; host < kHosts; ++host) {
    for (node::SendToEndpoint& sent : group_.at(host).TakeSent())
      calls_.push_back({host, incarnations_[host], std::move(sent)});
    for (node::AnswerCaller& answer : group_.at(host).TakeAnswers()) {
      const auto it =
          std::ranges::find_if(requests_, [&](const BookingRequest& a) {
            return a.host == host && a.incarnation == incarnations_[host] &&
                   a.caller == answer.caller;
          });
      if (it != requests_.end())
        it->answers.push_back(std::move(answer.answer));
    }
    CollectExit(host);
  }
}

void BookingSimulation::Heal() {
  group_.HealAll();
  for (size_t i = 0; i < kHosts; ++i) {
    group_.at(i).set_behavior(PlatformBehavior::kHealthy);
    group_.at(i).ApplyLate();
    Thaw(i);
    Revive(i);
    group_.at(i).ReleaseHeld();
  }
  Collect();
  for (int i = 0; i < 4; ++i) {
    AnswerAll();
    Advance(kSettleTime / 4);
  }
}

void BookingSimulation::CheckRequest(const BookingRequest& request,
                                     std::vector<std::string>& out) {
  const std::string about =
      request.key + " at host " + std::to_string(request.host) + ": ";
  if (request.answers.size() > 1)
    out.push_back(about + "answered more than once");
  if (request.answers.empty()) {
    if (incarnations_[request.host] == request.incarnation)
      out.push_back(about + "never answered");
    return;
  }
  const node::CallerAnswer& answer = request.answers.front();
  const auto is_same_key = [&](const BookingRequest& it) {
    return it.key == request.key;
  };
  const bool is_only = std::ranges::count_if(requests_, is_same_key) == 1;
  if (answer.executed == Executed::kNo && is_only &&
      executions_[request.key] > 0)
    out.push_back(about + "said not run, but it ran");
  const bool can_ask_again =
      answer.error &&
      (answer.error->retry_after || answer.error->code == "caller_left");
  if (answer.executed == Executed::kNo && !can_ask_again)
    out.push_back(about + "refused without a retry time");
  if (answer.executed != Executed::kYes || answer.error)
    return;
  if (answer.body != AnswerOf(request.key))
    out.push_back(about + "got another answer: " + answer.body);
  const auto row = store_.rows().find(booking::RowKeyOf({{"t"}, request.key}));
  const auto record = row == store_.rows().end()
                          ? base::Result<booking::BookingRecord>(base::Error{})
                          : booking::ParseRecord(row->second.value);
  if (!record || record.value().state != booking::BookingState::kDone ||
      record.value().answer != answer.body)
    out.push_back(about + "answered as done, but not in the table");
}

std::vector<std::string> BookingSimulation::Violations() {
  std::vector<std::string> out = violations_;
  for (const auto& [key, count] : executions_) {
    if (count > 1)
      out.push_back(key + " ran " + std::to_string(count) + " times");
  }
  for (const BookingRequest& request : requests_)
    CheckRequest(request, out);
  // At least one request at the host that executed the call must not have been
  // answered "not run".
  for (const BookingCall& call : calls_) {
    const auto may_own = [&call](const BookingRequest& it) {
      return it.host == call.host && it.incarnation == call.incarnation &&
             it.key == *call.sent.idempotency_key &&
             (it.answers.empty() ||
              it.answers.front().executed != Executed::kNo);
    };
    if (call.has_run && std::ranges::none_of(requests_, may_own))
      out.push_back(*call.sent.idempotency_key +
                    " ran for a request that was told it did not");
  }
  return out;
}

}  // namespace bilberry::fakes
