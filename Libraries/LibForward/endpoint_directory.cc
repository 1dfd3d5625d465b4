#include "LibForward/endpoint_directory.h"

namespace bilberry::forward {

namespace {

// How long after the store's return a living endpoint is listed again.
constexpr std::chrono::milliseconds kRelistTime{2000};
// Beyond so many endpoints that said that they leave, those that aren't listed
// are forgotten.
constexpr size_t kMostLeaving = 1000;

}  // namespace

bool EndpointDirectory::Apply(bool is_whole,
                              const std::vector<FeedRow>& rows,
                              base::TimePoint now) {
  bool has_changed = false;
  std::set<base::EndpointName> seen;
  for (const FeedRow& row : rows) {
    const base::EndpointName name{row.key};
    // An entry that can't be read says nothing of the endpoint.
    if (std::holds_alternative<RowUnreadable>(row.content)) {
      seen.insert(name);
      continue;
    }
    const auto* listed = std::get_if<ListedEndpoint>(&row.content);
    if (listed == nullptr) {
      has_changed |= NoteRemoved(name, now);
      continue;
    }
    seen.insert(name);
    missing_.erase(name);
    const auto [it, is_new] = endpoints_.try_emplace(name, *listed);
    if (!is_new && it->second == *listed)
      continue;
    it->second = *listed;
    has_changed = true;
  }
  if (!is_whole)
    return has_changed;
  std::vector<base::EndpointName> absent;
  for (const auto& [name, listed] : endpoints_) {
    if (!seen.contains(name))
      absent.push_back(name);
  }
  for (const base::EndpointName& name : absent)
    has_changed |= NoteRemoved(name, now);
  return has_changed;
}

bool EndpointDirectory::NoteRemoved(const base::EndpointName& name,
                                    base::TimePoint now) {
  if (is_store_lost_ || now < trusted_from_) {
    if (endpoints_.contains(name))
      missing_.insert(name);
    return false;
  }
  return Erase(name);
}

bool EndpointDirectory::Erase(const base::EndpointName& name) {
  const auto it = leaving_.find(name);
  if (it != leaving_.end() && it->second == base::Incarnation{})
    leaving_.erase(it);
  return endpoints_.erase(name) > 0;
}

void EndpointDirectory::NoteStoreLost() {
  is_store_lost_ = true;
}

void EndpointDirectory::NoteStoreBack(base::TimePoint now) {
  if (!is_store_lost_)
    return;
  is_store_lost_ = false;
  trusted_from_ = now + kRelistTime;
}

bool EndpointDirectory::DropMissing(base::TimePoint now) {
  if (missing_.empty() || is_store_lost_ || now < trusted_from_)
    return false;
  for (const base::EndpointName& name : missing_)
    Erase(name);
  missing_.clear();
  return true;
}

std::optional<base::TimePoint> EndpointDirectory::NextWakeup() const {
  if (missing_.empty() || is_store_lost_)
    return std::nullopt;
  return trusted_from_;
}

bool EndpointDirectory::NoteLeaving(const base::EndpointName& name,
                                    base::Incarnation incarnation) {
  if (leaving_.size() >= kMostLeaving)
    std::erase_if(leaving_, [this](const auto& it) {
      return !endpoints_.contains(it.first);
    });
  const auto [it, is_new] = leaving_.try_emplace(name, incarnation);
  if (!is_new && it->second == incarnation)
    return false;
  it->second = incarnation;
  return true;
}

// An entry that doesn't tell which life it is of may be of the one that leaves.
bool EndpointDirectory::IsKnownToLeave(const ListedEndpoint& endpoint) const {
  const auto it = leaving_.find(endpoint.name);
  if (it == leaving_.end())
    return false;
  return it->second == endpoint.incarnation ||
         endpoint.incarnation == base::Incarnation{} ||
         it->second == base::Incarnation{};
}

std::vector<ListedEndpoint> EndpointDirectory::endpoints() const {
  std::vector<ListedEndpoint> all;
  all.reserve(endpoints_.size());
  for (const auto& [name, listed] : endpoints_) {
    all.push_back(listed);
    if (IsKnownToLeave(listed))
      all.back().state = EndpointState::kLeaving;
  }
  return all;
}

}  // namespace bilberry::forward
