#include "LibTransport/platform_client.h"

#include <utility>

#include "LibTransport/platform_codec.h"

namespace bilberry::transport {

namespace {

PlatformClient::Outcome OutcomeOf(const base::PlatformRequest& request,
                                  const HttpOutcome& outcome) {
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    const bool was_unreachable =
        failure->kind == node::EndpointFailureKind::kUnreachable;
    return was_unreachable ? base::PlatformFailure::kNotSent
                           : base::PlatformFailure::kUnknown;
  }
  auto answer = DecodePlatformAnswer(request, std::get<HttpResponse>(outcome));
  if (!answer)
    return base::PlatformFailure::kUnknown;
  return std::move(answer.value());
}

}  // namespace

void PlatformClient::Send(base::PlatformRequest request,
                          std::chrono::milliseconds timeout,
                          DoneHandler done) {
  HttpRequest http = EncodePlatformRequest(request);
  http.address = address_;
  http.timeout = timeout;
  http_.Send(
      std::move(http),
      [request = std::move(request), done = std::move(done)](
          const HttpOutcome& outcome) { done(OutcomeOf(request, outcome)); });
}

}  // namespace bilberry::transport
