#include "Standins/endpoint_standin.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace bilberry::standins {

namespace {

using transport::FindHeader;
using transport::HttpHeaders;
using transport::IncomingRequest;

constexpr int kServiceUnavailable = 503;
constexpr size_t kBytesPerKilobyte = 1024;
constexpr std::chrono::milliseconds kReviveRetryDelay{100};
// Precedes the number that the load tool writes into each body.
constexpr std::string_view kRequestMark = R"("request":)";

uint64_t NumberIn(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<uint64_t> RequestNumberOf(std::string_view body) {
  const size_t found = body.find(kRequestMark);
  if (found == std::string_view::npos)
    return std::nullopt;
  return NumberIn(body.substr(found + kRequestMark.size()));
}

std::string TextOrEmpty(const std::string* text) {
  return text == nullptr ? std::string() : *text;
}

}  // namespace

EndpointStandin::EndpointStandin(transport::Reactor& reactor,
                                 transport::TimerQueue& timers,
                                 base::HostEntry entry,
                                 EndpointModel model)
    : reactor_(reactor),
      timers_(timers),
      fault_injector_(timers),
      entry_(std::move(entry)),
      model_(std::move(model)) {}

base::Result<std::unique_ptr<EndpointStandin>> EndpointStandin::Create(
    transport::Reactor& reactor,
    transport::TimerQueue& timers,
    base::HostEntry entry,
    EndpointModel model) {
  std::unique_ptr<EndpointStandin> standin(
      new EndpointStandin(reactor, timers, std::move(entry), std::move(model)));
  TRY(standin->Listen());
  return standin;
}

base::Result<void> EndpointStandin::Listen() {
  TRY(listener, transport::HttpListener::Create(
                    reactor_, {entry_.address},
                    [this](IncomingRequest it) { Handle(std::move(it)); }));
  listener_ = std::move(listener);
  entry_.address = listener_->address();
  return base::Success();
}

void EndpointStandin::Handle(IncomingRequest request) {
  Job job;
  job.exchange = request.exchange;
  job.path = std::move(request.path);
  job.attempt =
      TextOrEmpty(FindHeader(request.headers, transport::kAttemptIdHeader));
  job.body = std::move(request.body);
  job.incarnation = incarnation_;
  if (is_leaving_) {
    Refuse(job.exchange, job.attempt);
    return;
  }
  const std::string* offset =
      FindHeader(request.headers, transport::kResumeOffsetHeader);
  if (offset != nullptr && model_.resumes_streams)
    job.resume_offset = NumberIn(*offset);
  job.unsent = job.resume_offset;
  ++executions_;
  const std::string* key =
      FindHeader(request.headers, transport::kIdempotencyKeyHeader);
  if (key != nullptr)
    ++executions_by_key_[*key];
  if (!model_.crash_mark.empty() &&
      job.body.find(model_.crash_mark) != std::string::npos) {
    Crash();
    return;
  }
  if (running_ >= model_.slots) {
    waiting_.push_back(std::move(job));
    return;
  }
  Start(std::move(job));
}

void EndpointStandin::Refuse(transport::ExchangeId exchange,
                             const std::string& attempt) {
  listener_->Respond(exchange, {kServiceUnavailable,
                                {{transport::kAttemptIdHeader, attempt},
                                 {transport::kNotRunHeader, "true"},
                                 {transport::kLeavingHeader, "true"}},
                                ""});
}

void EndpointStandin::Crash() {
  // Deferred because the listener can't be destroyed during its own callback.
  timers_.After(base::Duration(0), [this, incarnation = incarnation_] {
    if (incarnation != incarnation_)
      return;
    Die();
    timers_.After(model_.restart_time, [this] { Revive(); });
  });
}

void EndpointStandin::Die() {
  if (!listener_)
    return;
  ++incarnation_;
  ++deaths_;
  listener_.reset();
  waiting_.clear();
  running_ = 0;
}

void EndpointStandin::Revive() {
  if (listener_ || Listen())
    return;
  timers_.After(kReviveRetryDelay, [this] { Revive(); });
}

double EndpointStandin::SlowdownFactor() const {
  constexpr double kPercent = 100.0;
  const uint32_t others = std::max(running_, 1U) - 1;
  return slowness_ * (1.0 + others * model_.batch_percent / kPercent);
}

base::Duration EndpointStandin::ServiceTimeOf(const Job& job) const {
  const auto alone = model_.service + model_.per_kilobyte *
                                          (job.body.size() / kBytesPerKilobyte);
  return std::chrono::duration_cast<base::Duration>(alone * SlowdownFactor());
}

void EndpointStandin::Start(Job job) {
  ++running_;
  const base::Duration time = ServiceTimeOf(job);
  job.between_tokens = std::chrono::duration_cast<base::Duration>(
      model_.between_tokens * SlowdownFactor());
  base::Duration whole = time;
  if (job.path == model_.streamed_path)
    whole += job.between_tokens * model_.tokens;
  if (const auto number = RequestNumberOf(job.body))
    work_by_request_[*number] += whole;
  timers_.After(time, [this, job = std::move(job)] { Finish(job); });
}

HttpHeaders EndpointStandin::HeadersOf(const Job& job) const {
  HttpHeaders headers{{transport::kAttemptIdHeader, job.attempt}};
  if (model_.reports_load)
    headers.push_back(
        {transport::kLoadHeader, std::to_string(running_ + waiting_.size())});
  if (job.resume_offset > 0)
    headers.push_back(
        {transport::kResumedFromHeader, std::to_string(job.resume_offset)});
  return headers;
}

std::string EndpointStandin::AnswerOf(const Job& job) const {
  const std::string input = job.body.empty() ? "null" : job.body;
  return R"({"endpoint":")" + entry_.name + R"(","path":")" + job.path +
         R"(","input":)" + input + "}";
}

void EndpointStandin::Finish(Job job) {
  if (job.incarnation != incarnation_)
    return;
  if (job.path == model_.streamed_path) {
    BeginStream(std::move(job));
    return;
  }
  HttpHeaders headers = HeadersOf(job);
  headers.push_back({transport::kContentTypeHeader, transport::kJsonType});
  fault_injector_.Serve(listener_, job.exchange, [&] {
    return transport::HttpResponse{200, headers, AnswerOf(job)};
  });
  FreeSlot();
}

void EndpointStandin::BeginStream(Job job) {
  HttpHeaders headers = HeadersOf(job);
  headers.push_back(
      {transport::kContentTypeHeader, transport::kEventStreamType});
  listener_->BeginStream(job.exchange, 200, headers);
  SendToken(std::move(job), 0);
}

void EndpointStandin::WriteRest(Job& job, const std::string& text) {
  const uint64_t skipped = std::min<uint64_t>(job.unsent, text.size());
  job.unsent -= skipped;
  if (skipped < text.size())
    listener_->WriteStream(job.exchange, text.substr(skipped));
}

void EndpointStandin::SendToken(Job job, uint32_t index) {
  if (job.incarnation != incarnation_)
    return;
  if (index == model_.tokens) {
    WriteRest(job, "data: " + AnswerOf(job) + "\n\n");
    listener_->EndStream(job.exchange, transport::StreamEnd::kWhole);
    FreeSlot();
    return;
  }
  WriteRest(job, "data: token-" + std::to_string(index) + "\n\n");
  const auto delay = job.between_tokens;
  timers_.After(delay, [this, job = std::move(job), index] {
    SendToken(job, index + 1);
  });
}

void EndpointStandin::FreeSlot() {
  --running_;
  if (waiting_.empty())
    return;
  Job next = std::move(waiting_.front());
  waiting_.pop_front();
  Start(std::move(next));
}

}  // namespace bilberry::standins
