#include "LibEmulation/deadly_callers.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "LibEmulation/draw.h"

namespace bilberry::emulation {

namespace {

// Keeps the numbers of these callers apart from those of all others.
constexpr uint64_t kFirstCaller = 1'000'000'000;
constexpr uint64_t kPartTokens = 200;

std::string DeadlyPartOf(const CallerKind& kind) {
  return "deadly-" + kind.name;
}

}  // namespace

void DeadlyCallers::Begin(Send send) {
  send_ = std::move(send);
  begins_ = timeline_.now();
  for (const CallerKind& kind : scenario_.kinds) {
    if (kind.name == scenario_.deadly.kind)
      BeginRepeated(kind);
    if (std::ranges::count(scenario_.deadly_parts.kinds, kind.name) > 0)
      timeline_.After(scenario_.deadly_parts.at, [this, &kind] {
        SendNextWithPart(kind, DrawWithPart(kind));
      });
  }
}

void DeadlyCallers::BeginRepeated(const CallerKind& kind) {
  const DeadlyRequests& deadly = scenario_.deadly;
  for (uint32_t i = 0; i < deadly.count; ++i) {
    forward::ForwardedRequest request = callers_.DrawRequest(kind);
    request.target = "/deadly-" + std::to_string(i);
    request.budget = kind.deadline;
    if (deadly.crashes_pieces)
      std::ranges::replace(request.piece_counts, 0U, 1U);
    // Different requests don't come at the same moment.
    timeline_.After(deadly.at + deadly.interval * i / deadly.count,
                    [this, request] { SendRepeated(request, 0); });
  }
}

void DeadlyCallers::SendRepeated(forward::ForwardedRequest request,
                                 uint32_t repeat) {
  if (repeat + 1 < scenario_.deadly.repeats)
    timeline_.After(scenario_.deadly.interval, [this, request, repeat] {
      SendRepeated(request, repeat + 1);
    });
  SetCaller(request);
  crashes_.AddDeadly(request);
  send_(std::move(request));
}

void DeadlyCallers::SendNextWithPart(const CallerKind& kind,
                                     const forward::ForwardedRequest& pattern) {
  const auto wait =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          DrawExponential(random_, 1 / scenario_.deadly_parts.per_second)));
  if (timeline_.now() + wait >= begins_ + scenario_.lasts)
    return;
  timeline_.After(wait, [this, &kind, pattern] {
    forward::ForwardedRequest request = DrawWithPart(kind);
    if (scenario_.deadly_parts.is_one_session)
      std::copy(pattern.prefix.begin(), pattern.prefix.end() - 1,
                request.prefix.begin());
    SetCaller(request);
    request.target = "/" + request.request_id;
    request.prefix.back().id = request.request_id;
    crashes_.AddDeadlyPart(request, DeadlyPartOf(kind));
    send_(std::move(request));
    SendNextWithPart(kind, pattern);
  });
}

forward::ForwardedRequest DeadlyCallers::DrawWithPart(const CallerKind& kind) {
  forward::ForwardedRequest request = callers_.DrawRequest(kind);
  request.budget = kind.deadline;
  request.prefix.insert(request.prefix.end() - 1,
                        {DeadlyPartOf(kind), kPartTokens});
  return request;
}

void DeadlyCallers::SetCaller(forward::ForwardedRequest& request) {
  request.caller = base::CallerId{kFirstCaller + ++last_caller_};
  request.request_id = "deadly-" + std::to_string(last_caller_);
}

}  // namespace bilberry::emulation
