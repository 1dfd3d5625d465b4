#include "Standins/endpoint_standin.h"

#include <utility>

namespace bilberry::standins {

namespace {

using transport::FindHeader;
using transport::HttpHeaders;
using transport::IncomingRequest;

constexpr int kServiceUnavailable = 503;

std::string TextOrEmpty(const std::string* text) {
  return text == nullptr ? std::string() : *text;
}

}  // namespace

EndpointStandin::EndpointStandin(transport::TimerQueue& timers,
                                 base::HostEntry entry,
                                 EndpointModel model)
    : timers_(timers),
      gate_(timers),
      entry_(std::move(entry)),
      model_(std::move(model)) {}

base::Result<std::unique_ptr<EndpointStandin>> EndpointStandin::Create(
    transport::Reactor& reactor,
    transport::TimerQueue& timers,
    base::HostEntry entry,
    EndpointModel model) {
  std::unique_ptr<EndpointStandin> standin(
      new EndpointStandin(timers, std::move(entry), std::move(model)));
  EndpointStandin* raw = standin.get();
  TRY(listener, transport::HttpListener::Create(
                    reactor, {standin->entry_.address},
                    [raw](IncomingRequest it) { raw->Handle(std::move(it)); }));
  standin->listener_ = std::move(listener);
  standin->entry_.address = standin->listener_->address();
  return standin;
}

void EndpointStandin::Handle(IncomingRequest request) {
  Job job;
  job.exchange = request.exchange;
  job.path = std::move(request.path);
  job.attempt =
      TextOrEmpty(FindHeader(request.headers, transport::kAttemptIdHeader));
  job.body = std::move(request.body);
  if (is_leaving_) {
    Refuse(job.exchange, job.attempt);
    return;
  }
  ++executions_;
  const std::string* key =
      FindHeader(request.headers, transport::kIdempotencyKeyHeader);
  if (key != nullptr)
    ++executions_by_key_[*key];
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

void EndpointStandin::Start(Job job) {
  ++running_;
  timers_.After(model_.service, [this, job = std::move(job)] { Finish(job); });
}

HttpHeaders EndpointStandin::HeadersOf(const Job& job) const {
  HttpHeaders headers{{transport::kAttemptIdHeader, job.attempt}};
  if (model_.reports_load)
    headers.push_back(
        {transport::kLoadHeader, std::to_string(running_ + waiting_.size())});
  return headers;
}

std::string EndpointStandin::AnswerOf(const Job& job) const {
  const std::string input = job.body.empty() ? "null" : job.body;
  return R"({"endpoint":")" + entry_.name + R"(","path":")" + job.path +
         R"(","input":)" + input + "}";
}

void EndpointStandin::Finish(const Job& job) {
  HttpHeaders headers = HeadersOf(job);
  if (job.path == model_.streamed_path) {
    headers.push_back(
        {transport::kContentTypeHeader, transport::kEventStreamType});
    listener_->BeginStream(job.exchange, 200, headers);
    SendToken(job, 0);
    return;
  }
  headers.push_back({transport::kContentTypeHeader, transport::kJsonType});
  gate_.Serve(*listener_, job.exchange, [&] {
    return transport::HttpResponse{200, headers, AnswerOf(job)};
  });
  FreeSlot();
}

void EndpointStandin::SendToken(const Job& job, uint32_t index) {
  if (index == model_.tokens) {
    listener_->WriteStream(job.exchange, "data: " + AnswerOf(job) + "\n\n");
    listener_->EndStream(job.exchange, transport::StreamEnd::kWhole);
    FreeSlot();
    return;
  }
  listener_->WriteStream(job.exchange,
                         "data: token-" + std::to_string(index) + "\n\n");
  timers_.After(model_.between_tokens,
                [this, job, index] { SendToken(job, index + 1); });
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
