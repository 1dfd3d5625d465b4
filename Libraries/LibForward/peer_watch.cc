#include "LibForward/peer_watch.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// Between two questions to one host: with the time that an answer may take, it
// bounds for how long requests wait for a silent host.
constexpr std::chrono::milliseconds kInterval{150};
// Hosts are watched for this long after something was asked of them.
constexpr std::chrono::seconds kUseLasts{3};

}  // namespace

void PeerWatch::Watch(const std::set<base::HostName>& hosts) {
  std::erase_if(questions_, [&hosts](const auto& it) {
    return !hosts.contains(it.first) && !it.second.is_open;
  });
  for (const base::HostName& host : hosts)
    questions_.try_emplace(host);
}

void PeerWatch::NoteUse(base::TimePoint now) {
  used_until_ = now + kUseLasts;
  is_used_ = true;
}

std::vector<base::HostName> PeerWatch::TakeDue(base::TimePoint now) {
  std::vector<base::HostName> due;
  is_used_ = now <= used_until_;
  if (!is_used_)
    return due;
  for (auto& [host, question] : questions_) {
    if (question.is_open || question.due > now)
      continue;
    question.is_open = true;
    question.due = now + kInterval;
    due.push_back(host);
  }
  return due;
}

void PeerWatch::NoteEnded(const base::HostName& host) {
  const auto it = questions_.find(host);
  if (it != questions_.end())
    it->second.is_open = false;
}

std::optional<base::TimePoint> PeerWatch::NextWakeup() const {
  std::optional<base::TimePoint> next;
  if (!is_used_)
    return next;
  for (const auto& [host, question] : questions_) {
    if (!question.is_open && (!next || question.due < *next))
      next = question.due;
  }
  return next;
}

}  // namespace bilberry::forward
