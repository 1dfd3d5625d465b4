#include "LibEmulation/emulated_cuts.h"

#include <algorithm>

namespace bilberry::emulation {

namespace {

// How long after its beginning a cut counts.
constexpr std::chrono::seconds kNoticeTime{3};

}  // namespace

bool EmulatedCuts::IsCut(size_t host, base::TimePoint now) const {
  return std::ranges::any_of(
      scenario_.endpoint_cuts, [&](const EndpointCut& it) {
        const base::TimePoint begin = began_ + it.at;
        return it.host == host && now >= begin && now < begin + it.lasts;
      });
}

bool EmulatedCuts::IsCounted(base::TimePoint now) const {
  return std::ranges::any_of(
      scenario_.endpoint_cuts, [&](const EndpointCut& it) {
        const base::TimePoint begin = began_ + it.at;
        return now >= begin + kNoticeTime && now < begin + it.lasts;
      });
}

void EmulatedCuts::NoteRequest(base::CallerId caller,
                               size_t host,
                               base::TimePoint now) {
  if (!IsCounted(now))
    return;
  ServedTally& tally =
      IsCut(host, now) ? report_.at_cut_hosts : report_.beside_cut_hosts;
  ++tally.requests;
  counted_[caller] = &tally;
}

void EmulatedCuts::NoteAnswered(base::CallerId caller, bool is_served) {
  const auto node = counted_.extract(caller);
  if (!node.empty() && is_served)
    ++node.mapped()->served;
}

}  // namespace bilberry::emulation
