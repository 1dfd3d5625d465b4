#include "LibForward/endpoint_directory.h"

namespace bilberry::forward {

namespace {

// Time within which a living endpoint is listed again after the store is back.
constexpr std::chrono::milliseconds kRelistTime{2000};
// Once this many departures are recorded, those of endpoints that aren't listed
// are dropped.
constexpr size_t kMaxDepartures = 1000;
// How long a departure is reported to peers. Each peer polls several times in
// this period, and by its end the endpoints' entries show the departure.
constexpr std::chrono::milliseconds kReportedFor{5000};
constexpr size_t kMaxReported = 100;

}  // namespace

bool EndpointDirectory::Apply(bool is_whole,
                              const std::vector<FeedRow>& rows,
                              base::TimePoint now) {
  bool has_changed = false;
  std::set<base::EndpointName> seen;
  for (const FeedRow& row : rows) {
    const base::EndpointName name{row.key};
    // An unreadable entry doesn't mean that the endpoint was removed.
    if (std::holds_alternative<RowUnreadable>(row.content)) {
      seen.insert(name);
      continue;
    }
    const auto* row_endpoint = std::get_if<ListedEndpoint>(&row.content);
    if (row_endpoint == nullptr) {
      has_changed |= NoteRemoved(name, now);
      continue;
    }
    ListedEndpoint listed = *row_endpoint;
    listed.cold_for.reset();
    seen.insert(name);
    missing_.erase(name);
    const auto [it, is_new] = endpoints_.try_emplace(name, listed);
    if (!is_new && it->second == listed)
      continue;
    it->second = listed;
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
  if (it != leaving_.end() && it->second.incarnation == base::Incarnation{})
    leaving_.erase(it);
  return endpoints_.erase(name) > 0;
}

void EndpointDirectory::NoteStoreLost() {
  is_store_lost_ = true;
}

void EndpointDirectory::NoteStoreBack(base::TimePoint now) {
  if (is_store_lost_)
    NoteStoreRestored(now);
}

void EndpointDirectory::NoteStoreRestored(base::TimePoint now) {
  is_store_lost_ = false;
  trusted_from_ = now + kRelistTime;
}

bool EndpointDirectory::Confirms(const ListedEndpoint& entry) const {
  const auto it = endpoints_.find(entry.name);
  if (it == endpoints_.end() || it->second.incarnation != entry.incarnation)
    return false;
  return it->second.state == EndpointState::kServing ||
         entry.state == EndpointState::kLeaving;
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
                                    base::Incarnation incarnation,
                                    base::TimePoint now) {
  if (leaving_.size() >= kMaxDepartures)
    std::erase_if(leaving_, [this](const auto& it) {
      return !endpoints_.contains(it.first);
    });
  const auto [it, is_new] =
      leaving_.try_emplace(name, Departure{incarnation, now});
  if (is_new)
    return true;
  // A late answer of an earlier incarnation must not replace the departure of a
  // later one.
  const base::Incarnation known = it->second.incarnation;
  if (known == incarnation ||
      (incarnation != base::Incarnation{} && known > incarnation))
    return false;
  it->second = {incarnation, now};
  return true;
}

bool EndpointDirectory::NoteLeavingByPeer(const EndpointDeparture& departure,
                                          base::TimePoint now) {
  const bool is_recent =
      departure.age >= base::Duration(0) && departure.age < kReportedFor;
  if (!is_recent || departure.incarnation == base::Incarnation{})
    return false;
  return NoteLeaving(departure.endpoint, departure.incarnation,
                     now - departure.age);
}

std::vector<EndpointDeparture> EndpointDirectory::RecentDepartures(
    base::TimePoint now) const {
  std::vector<EndpointDeparture> recent;
  for (const auto& [name, departure] : leaving_) {
    const bool is_reported = now - departure.announced < kReportedFor &&
                             departure.incarnation != base::Incarnation{};
    if (is_reported && recent.size() < kMaxReported)
      recent.push_back(
          {name, departure.incarnation, now - departure.announced});
  }
  return recent;
}

// An entry without an incarnation may belong to the incarnation that leaves.
bool EndpointDirectory::IsKnownToLeave(const ListedEndpoint& endpoint) const {
  const auto it = leaving_.find(endpoint.name);
  if (it == leaving_.end())
    return false;
  const base::Incarnation leaving = it->second.incarnation;
  return leaving == endpoint.incarnation ||
         endpoint.incarnation == base::Incarnation{} ||
         leaving == base::Incarnation{};
}

bool EndpointDirectory::Lists(const ListedEndpoint& endpoint) const {
  const auto it = endpoints_.find(endpoint.name);
  return it != endpoints_.end() &&
         it->second.incarnation == endpoint.incarnation;
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
