#include "LibSoak/caller.h"

#include <utility>

#include "Standins/platform_messages.h"
#include "Standins/spelled_request.h"

namespace bilberry::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortestPause{20};
constexpr uint64_t kPauseRange = 130;  // In milliseconds.
// Longer than any request's deadline, so that an answer at the last moment is
// still received.
constexpr milliseconds kAnswerTimeout{5000};
constexpr uint64_t kPercent = 100;
// Cumulative shares of the request kinds and of the keys, in percent.
constexpr uint64_t kReads = 30;
constexpr uint64_t kBooks = 60;
constexpr uint64_t kDrafts = 80;
constexpr uint64_t kWithdrawnKeys = 10;
constexpr uint64_t kChangingKeys = 40;
// Share of the requests that are the deadly one while there is one.
constexpr uint64_t kDeadly = 20;
constexpr uint64_t kMalformed = 5;

RequestKind KindOf(uint64_t percent) {
  if (percent < kReads)
    return RequestKind::kRead;
  if (percent < kBooks)
    return RequestKind::kBook;
  return percent < kDrafts ? RequestKind::kDraft : RequestKind::kResume;
}

}  // namespace

Caller::Caller(transport::Reactor& reactor,
               InvariantChecker& checker,
               EventTrail& trail,
               const CallerKeys& keys,
               const std::optional<DeadlyRequest>& deadly,
               std::string host,
               base::SocketAddress address,
               uint64_t seed)
    : reactor_(reactor),
      timers_(reactor),
      checker_(checker),
      trail_(trail),
      keys_(keys),
      deadly_(deadly),
      host_(std::move(host)),
      address_(std::move(address)),
      random_(seed),
      name_(host_ + "-" + std::to_string(seed)),
      connection_(
          reactor,
          [this](ConnectionAnswer it) { NoteAnswer(std::move(it)); },
          [this](size_t n) {
            checker_.NoteStrayBytes(host_, n, reactor_.Now());
          }) {}

void Caller::SendLater() {
  waiting_.clear();
  is_malformed_ = false;
  timers_.After(kShortestPause + milliseconds(random_.Below(kPauseRange)),
                [this] { Send(); });
}

SentRequest Caller::Draw() {
  SentRequest request;
  request.id = name_ + "-" + std::to_string(++last_number_);
  request.host = host_;
  request.kind = KindOf(random_.Below(kPercent));
  request.target = "/" + std::string(ToText(request.kind)) + "/" + request.id;
  if (deadly_ && random_.Below(kPercent) < kDeadly) {
    request.kind = deadly_->kind;
    request.target = deadly_->target;
    request.is_deadly = true;
  }
  request.method = request.kind == RequestKind::kRead ? "GET" : "POST";
  const uint64_t percent = random_.Below(kPercent);
  request.key = keys_.lasting;
  if (request.is_deadly)
    return request;
  if (percent < kWithdrawnKeys && keys_.withdrawn)
    request.key = *keys_.withdrawn;
  else if (percent < kChangingKeys)
    request.key = keys_.changing;
  return request;
}

void Caller::Send() {
  if (is_stopping_)
    return;
  if (!connection_.is_open() && !connection_.Open(address_)) {
    SendLater();
    return;
  }
  if (random_.Below(kPercent) < kMalformed) {
    SendMalformed();
    return;
  }
  SentRequest request = Draw();
  request.sent = reactor_.Now();
  const std::string text =
      standins::ToHttp({request.id, request.method, request.target, request.key,
                        request.time_left, IsStream(request.kind)});
  waiting_ = request.id;
  trail_.Add(request.sent,
             request.id + " goes to " + host_ + " with " + request.key);
  checker_.NoteSent(std::move(request));
  Transmit(text);
}

void Caller::SendMalformed() {
  const std::string id = name_ + "-" + std::to_string(++last_number_);
  const std::string target = "/book/" + id;
  const std::string inner = standins::ToHttp(
      {id + "-inner", "POST", target + "-inner", keys_.lasting});
  standins::SpelledRequest request;
  do
    request = standins::DrawSpelledRequest(
        random_, target,
        standins::CallerHeaders({id, "POST", target, keys_.lasting}), inner);
  while (request.is_sound);
  is_malformed_ = true;
  trail_.Add(reactor_.Now(),
             id + " goes to " + host_ + " with " + request.spelling);
  Transmit(request.bytes);
}

void Caller::Transmit(const std::string& text) {
  if (!connection_.Send(text)) {
    SendLater();
    return;
  }
  timers_.After(kAnswerTimeout, [this, n = last_number_] { GiveUp(n); });
}

void Caller::GiveUp(uint64_t number) {
  if ((waiting_.empty() && !is_malformed_) || number != last_number_)
    return;
  connection_.Close();
  ConnectionAnswer answer;
  answer.end = AnswerEnd::kGivenUp;
  NoteAnswer(std::move(answer));
}

void Caller::NoteAnswer(ConnectionAnswer answer) {
  if (is_malformed_) {
    SendLater();
    return;
  }
  ObservedAnswer seen;
  seen.request = waiting_;
  seen.end = answer.end;
  seen.status = answer.status;
  seen.is_sealed = standins::IsSealed(answer.headers);
  seen.named_id = standins::EchoedRequestId(answer.headers);
  seen.body = std::move(answer.body);
  seen.ended = reactor_.Now();
  trail_.Add(seen.ended, waiting_ + " ends: " + std::to_string(seen.status) +
                             ", " + std::string(ToText(seen.end)) + ", " +
                             std::to_string(seen.body.size()) + " bytes");
  checker_.NoteAnswer(seen);
  SendLater();
}

}  // namespace bilberry::soak
