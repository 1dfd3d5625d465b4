#include "Fakes/booking_world.h"

#include <algorithm>
#include <utility>

#include "LibBooking/booking_record.h"

namespace bilberry::fakes {

using pipeline::Executed;

namespace {

// Longer than an attempt is kept open after its deadline.
constexpr std::chrono::seconds kSettlingTime{40};

}  // namespace

BookingWorld::BookingWorld()
    : group_((PutSmallDeployment(store_), store_), kHosts),
      frozen_(kHosts, false) {
  for (size_t i = 0; i < kHosts; ++i)
    lives_.push_back(i + 1);
  group_.Advance(std::chrono::milliseconds(1));
}

size_t BookingWorld::Ask(size_t host, const std::string& key) {
  asked_.push_back({host, lives_[host], {}, key, {}});
  const size_t place = asked_.size() - 1;
  asked_[place].caller = group_.at(host).Call("booking", key);
  Collect();
  return place;
}

void BookingWorld::Advance(base::Duration duration) {
  group_.Advance(duration);
  Collect();
}

void BookingWorld::SetMood(size_t host, PlatformMood mood) {
  group_.at(host).set_mood(mood);
  if (mood != PlatformMood::kHeld && !frozen_[host])
    group_.at(host).ReleaseHeld();
  Collect();
}

void BookingWorld::SetMoodOfAll(PlatformMood mood) {
  for (size_t i = 0; i < kHosts; ++i)
    SetMood(i, mood);
}

void BookingWorld::Freeze(size_t host) {
  group_.Freeze(host);
  frozen_[host] = true;
}

void BookingWorld::Thaw(size_t host) {
  if (!frozen_[host] || group_.condition(host) != HostCondition::kFrozen)
    return;
  frozen_[host] = false;
  group_.Thaw(host);
  group_.at(host).ReleaseHeld();
  for (Unheard& it : std::exchange(unheard_, {}))
    Tell(it.call, std::move(it.event));
  Collect();
}

bool BookingWorld::CanHear(const BookingCall& call) const {
  return lives_[call.host] == call.life &&
         group_.condition(call.host) == HostCondition::kRunning;
}

void BookingWorld::Tell(size_t call, node::Event event) {
  const BookingCall& it = calls_.at(call);
  if (CanHear(it))
    group_.at(it.host).Feed(std::move(event));
  else
    unheard_.push_back({call, std::move(event)});
}

void BookingWorld::Run(size_t call) {
  BookingCall& it = calls_.at(call);
  if (it.has_run || it.is_over)
    return;
  ++executions_[*it.sent.idempotency_key];
  it.has_run = true;
}

void BookingWorld::Answer(size_t call) {
  if (calls_.at(call).is_over)
    return;
  Run(call);
  calls_[call].is_over = true;
  node::EndpointAnswer answer;
  answer.attempt = calls_[call].sent.attempt;
  answer.echoed_attempt = base::ToText(answer.attempt);
  answer.status = 200;
  answer.body = AnswerOf(*calls_[call].sent.idempotency_key);
  Tell(call, std::move(answer));
  Collect();
}

void BookingWorld::RefuseNotRun(size_t call) {
  BookingCall& it = calls_.at(call);
  if (it.is_over || it.has_run)
    return;
  it.is_over = true;
  node::EndpointAnswer answer;
  answer.attempt = it.sent.attempt;
  answer.echoed_attempt = base::ToText(answer.attempt);
  answer.status = 503;
  answer.said_not_run = true;
  Tell(call, std::move(answer));
  Collect();
}

void BookingWorld::Break(size_t call) {
  if (calls_.at(call).is_over)
    return;
  calls_[call].is_over = true;
  Tell(call, node::EndpointFailure{calls_[call].sent.attempt,
                                   node::EndpointFailureKind::kBroken,
                                   node::ConnectionAge::kFresh, "broken"});
  Collect();
}

void BookingWorld::AnswerAll() {
  for (size_t i = 0; i < calls_.size(); ++i)
    Answer(i);
}

void BookingWorld::BreakAll() {
  for (size_t i = 0; i < calls_.size(); ++i)
    Break(i);
}

void BookingWorld::Collect() {
  group_.DeliverPeerCalls();
  for (size_t host = 0; host < kHosts; ++host) {
    for (node::SendToEndpoint& sent : group_.at(host).TakeSent())
      calls_.push_back({host, lives_[host], std::move(sent)});
    for (node::AnswerCaller& answer : group_.at(host).TakeAnswers()) {
      const auto it = std::ranges::find_if(asked_, [&](const BookingAsked& a) {
        return a.host == host && a.life == lives_[host] &&
               a.caller == answer.caller;
      });
      if (it != asked_.end())
        it->answers.push_back(std::move(answer.answer));
    }
  }
}

void BookingWorld::Heal() {
  group_.HealAll();
  for (size_t i = 0; i < kHosts; ++i) {
    group_.at(i).set_mood(PlatformMood::kSound);
    group_.at(i).ApplyLate();
    Thaw(i);
    if (group_.condition(i) == HostCondition::kDead) {
      lives_[i] = ++last_life_;
      group_.Replace(i, last_life_);
    }
    group_.at(i).ReleaseHeld();
  }
  Collect();
  for (int i = 0; i < 4; ++i) {
    AnswerAll();
    Advance(kSettlingTime / 4);
  }
}

void BookingWorld::CheckAsked(const BookingAsked& asked,
                              std::vector<std::string>& out) {
  const std::string about =
      asked.key + " at host " + std::to_string(asked.host) + ": ";
  if (asked.answers.size() > 1)
    out.push_back(about + "answered more than once");
  if (asked.answers.empty()) {
    if (lives_[asked.host] == asked.life)
      out.push_back(about + "never answered");
    return;
  }
  const node::CallerAnswer& answer = asked.answers.front();
  const auto is_same_key = [&](const BookingAsked& it) {
    return it.key == asked.key;
  };
  const bool is_only = std::ranges::count_if(asked_, is_same_key) == 1;
  if (answer.executed == Executed::kNo && is_only && executions_[asked.key] > 0)
    out.push_back(about + "said not run, but it ran");
  const bool can_ask_again =
      answer.error &&
      (answer.error->retry_after || answer.error->code == "caller_left");
  if (answer.executed == Executed::kNo && !can_ask_again)
    out.push_back(about + "refused without a retry time");
  if (answer.executed != Executed::kYes || answer.error)
    return;
  if (answer.body != AnswerOf(asked.key))
    out.push_back(about + "got another answer: " + answer.body);
  const auto row = store_.rows().find(booking::RowKeyOf({{"t"}, asked.key}));
  const auto record = row == store_.rows().end()
                          ? base::Result<booking::BookingRecord>(base::Error{})
                          : booking::ParseRecord(row->second.value);
  if (!record || record.value().state != booking::BookingState::kDone ||
      record.value().answer != answer.body)
    out.push_back(about + "answered as done, but not in the table");
}

std::vector<std::string> BookingWorld::Violations() {
  std::vector<std::string> out;
  for (const auto& [key, count] : executions_) {
    if (count > 1)
      out.push_back(key + " ran " + std::to_string(count) + " times");
  }
  for (const BookingAsked& asked : asked_)
    CheckAsked(asked, out);
  // Some request at the host that ran it must not have been told "not run".
  for (const BookingCall& call : calls_) {
    const auto may_own = [&call](const BookingAsked& it) {
      return it.host == call.host && it.life == call.life &&
             it.key == *call.sent.idempotency_key &&
             (it.answers.empty() ||
              it.answers.front().executed != Executed::kNo);
    };
    if (call.has_run && std::ranges::none_of(asked_, may_own))
      out.push_back(*call.sent.idempotency_key +
                    " ran for a request that was told it did not");
  }
  return out;
}

}  // namespace bilberry::fakes
