#include "LibForward/endpoint_backoffs.h"

#include <algorithm>
#include <chrono>

namespace bilberry::forward {

namespace {

// No endpoint asks for more.
constexpr std::chrono::hours kLongest{1};
// By so many endpoints at a time, peers are told.
constexpr size_t kMostTold = 200;

}  // namespace

bool EndpointBackoffs::Prolong(ByName& times,
                               const base::EndpointName& name,
                               const QuietTime& time) {
  const auto [it, is_new] = times.try_emplace(name, time);
  if (is_new)
    return true;
  if (time.until <= it->second.until)
    return false;
  it->second = time;
  return true;
}

bool EndpointBackoffs::Note(const base::EndpointName& name,
                            base::Incarnation incarnation,
                            base::TimePoint until,
                            base::TimePoint now) {
  return Prolong(own_, name, {incarnation, now, until});
}

bool EndpointBackoffs::NoteByPeer(const BackoffReport& told,
                                  base::TimePoint now) {
  const bool is_sound = told.age >= base::Duration(0) &&
                        told.age < told.lasts && told.lasts <= kLongest &&
                        told.incarnation != base::Incarnation{};
  if (!is_sound ||
      (told_.size() >= kMostTold && !told_.contains(told.endpoint)))
    return false;
  const base::TimePoint said = now - told.age;
  return Prolong(told_, told.endpoint,
                 {told.incarnation, said, said + told.lasts});
}

base::TimePoint EndpointBackoffs::EndOf(const base::EndpointName& name) const {
  const auto it = own_.find(name);
  return it == own_.end() ? base::TimePoint::min() : it->second.until;
}

bool EndpointBackoffs::IsQuietForPeers(const base::EndpointName& name,
                                       base::Incarnation incarnation,
                                       base::TimePoint now) const {
  const auto it = told_.find(name);
  return it != told_.end() && it->second.incarnation == incarnation &&
         now < it->second.until;
}

base::TimePoint EndpointBackoffs::LastEndOf(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const auto it = told_.find(name);
  if (it == told_.end() || it->second.incarnation != incarnation)
    return EndOf(name);
  return std::max(EndOf(name), it->second.until);
}

std::vector<BackoffReport> EndpointBackoffs::Words(base::TimePoint now) const {
  std::vector<BackoffReport> words;
  for (const ByName* times : {&own_, &told_}) {
    for (const auto& [name, time] : *times) {
      const bool is_to_be_told =
          now < time.until && time.incarnation != base::Incarnation{};
      if (is_to_be_told && words.size() < kMostTold)
        words.push_back(
            {name, time.incarnation, time.until - time.said, now - time.said});
    }
  }
  return words;
}

std::vector<base::EndpointName> EndpointBackoffs::TakeEnded(
    base::TimePoint now) {
  std::vector<base::EndpointName> ended;
  for (ByName* times : {&own_, &told_}) {
    const ByName& others = times == &own_ ? told_ : own_;
    for (auto it = times->begin(); it != times->end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      if (!others.contains(it->first))
        ended.push_back(it->first);
      it = times->erase(it);
    }
  }
  return ended;
}

std::optional<base::TimePoint> EndpointBackoffs::NextEnd() const {
  std::optional<base::TimePoint> next;
  for (const ByName* times : {&own_, &told_}) {
    for (const auto& [name, time] : *times) {
      if (!next || time.until < *next)
        next = time.until;
    }
  }
  return next;
}

}  // namespace bilberry::forward
