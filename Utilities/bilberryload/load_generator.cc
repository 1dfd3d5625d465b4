#include "load_generator.h"

#include <utility>

namespace bilberry::load {

namespace {

constexpr std::chrono::milliseconds kLongestWait{100};
constexpr std::chrono::milliseconds kTimeout{30'000};

}  // namespace

LoadGenerator::LoadGenerator(transport::Reactor& reactor,
                             transport::HttpClient& http,
                             LoadPlan plan)
    : reactor_(reactor), http_(http), plan_(std::move(plan)) {}

LoadResult LoadGenerator::Run() {
  const base::TimePoint began = reactor_.Now();
  for (uint32_t i = 0; i < plan_.callers; ++i)
    SendNext();
  while (done_ < plan_.requests)
    reactor_.RunOnce(kLongestWait);
  result_.elapsed = reactor_.Now() - began;
  return std::move(result_);
}

void LoadGenerator::SendNext() {
  if (sent_ == plan_.requests)
    return;
  transport::HttpRequest request;
  request.method = transport::HttpMethod::kPost;
  request.address = plan_.targets[sent_ % plan_.targets.size()];
  request.path = plan_.path;
  request.headers = plan_.headers;
  request.body = plan_.body;
  request.timeout = kTimeout;
  ++sent_;
  http_.Send(std::move(request), [this, began = reactor_.Now()](
                                     const transport::HttpOutcome& outcome) {
    Note(began, outcome);
    SendNext();
  });
}

void LoadGenerator::Note(base::TimePoint began,
                         const transport::HttpOutcome& outcome) {
  ++done_;
  const auto* response = std::get_if<transport::HttpResponse>(&outcome);
  const int status = response == nullptr ? 0 : response->status;
  ++result_.statuses[status];
  if (status == 200)
    result_.latency.Record(reactor_.Now() - began);
}

}  // namespace bilberry::load
