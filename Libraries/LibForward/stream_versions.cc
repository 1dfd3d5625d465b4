#include "LibForward/stream_versions.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// A stream is not taken up later than this after its first event.
constexpr std::chrono::seconds kStreamLife{60};
// Minimum time between the writes of new rows. Streams whose rows aren't
// written yet are unknown if their host is killed, and many break within
// moments.
constexpr std::chrono::milliseconds kFlushInterval{50};
// Minimum time between removals, for which nobody waits.
constexpr std::chrono::seconds kRemovalInterval{5};
constexpr std::chrono::milliseconds kRetryDelay{700};
// The store runs the transactions of one part of a table one after another, so
// the rows of streams are spread over several.
constexpr uint64_t kParts = 16;
constexpr const char* kPoolsPart = "pools";
constexpr size_t kMaxRowsPerWrite = 100;
// The store's bound on keys; a stream with a longer id isn't kept.
constexpr size_t kMaxKeyBytes = 200;

// A host in touch hears of its endpoints more often than this.
constexpr std::chrono::milliseconds kMaxEndpointsAge{3000};
// Longest time from a lookup's beginning for which it waits for endpoints that
// the store has listed since.
constexpr std::chrono::milliseconds kMaxConfirmationWait{2000};

std::string PartOf(const std::string& stream) {
  return "streams-" + std::to_string(RendezvousWeight(stream, "") % kParts);
}

std::vector<std::string> NamesOf(
    const std::map<std::string, std::optional<base::TimePoint>>& versions) {
  std::vector<std::string> names;
  names.reserve(versions.size());
  for (const auto& [name, gone] : versions)
    names.push_back(name);
  return names;
}

}  // namespace

std::string_view ToText(OriginEvidence evidence) {
  switch (evidence) {
    case OriginEvidence::kRow:
      return "found";
    case OriginEvidence::kOnlyVersion:
      return "any";
    case OriginEvidence::kNone:
      return "unknown";
  }
  return "";
}

void StreamVersions::SetConfiguration(
    const ForwardConfiguration& configuration) {
  resumable_pools_.clear();
  for (const ForwardedPipeline& pipeline : configuration.pipelines) {
    if (!pipeline.may_resume)
      continue;
    for (const PoolShare& it : pipeline.final_pools)
      resumable_pools_.insert(it.pool);
  }
  for (const auto& [pool, versions] : versions_)
    NoteVersionsChanged(pool);
}

void StreamVersions::SetEndpoints(std::span<const ListedEndpoint> endpoints,
                                  base::TimePoint now) {
  std::map<base::PoolName, std::set<std::string>> listed;
  for (const ListedEndpoint& it : endpoints)
    listed[it.pool].insert(it.software_version);
  for (auto& [pool, times] : versions_) {
    for (auto& [version, gone] : times) {
      const bool is_listed =
          listed.contains(pool) && listed[pool].contains(version);
      if (is_listed)
        gone.reset();
      else if (!gone)
        gone = now;
    }
  }
  for (const auto& [pool, names] : listed) {
    bool has_changed = false;
    for (const std::string& it : names)
      has_changed |= versions_[pool].try_emplace(it, std::nullopt).second;
    if (has_changed)
      NoteVersionsChanged(pool);
  }
}

bool StreamVersions::HasSeveralVersions(const base::PoolName& pool) const {
  const auto it = versions_.find(pool);
  return it != versions_.end() && it->second.size() > 1;
}

// As long as the rows of the pools haven't been read, endpoints of another
// version may have left while no host was up.
bool StreamVersions::IsMixed(const base::PoolName& pool) const {
  return !knows_pools_ || !versions_.contains(pool) || HasSeveralVersions(pool);
}

// Once a pool is mixed, the streams that began before need rows as well.
void StreamVersions::NoteVersionsChanged(const base::PoolName& pool) {
  if (!resumable_pools_.contains(pool))
    return;
  if (knows_pools_ && written_versions_[pool] != NamesOf(versions_[pool]))
    unwritten_pools_.insert(pool);
  if (!IsMixed(pool))
    return;
  for (const auto& [name, stream] : streams_) {
    if (!stream.is_written && stream.origin.pool == pool)
      unwritten_.insert(name);
  }
}

void StreamVersions::WriteAgain() {
  written_versions_.clear();
  for (auto& [name, stream] : streams_)
    stream.is_written = false;
  for (const auto& [pool, versions] : versions_)
    NoteVersionsChanged(pool);
}

void StreamVersions::NoteBegun(const std::string& stream,
                               StreamOrigin origin,
                               base::TimePoint now) {
  if (stream.empty() || stream.size() > kMaxKeyBytes)
    return;
  const bool is_mixed = IsMixed(origin.pool);
  if (!streams_.try_emplace(stream, Stream{std::move(origin)}).second)
    return;
  begun_at_.emplace_back(now, stream);
  if (is_mixed)
    unwritten_.insert(stream);
}

void StreamVersions::Forget(const std::string& stream) {
  const auto it = streams_.find(stream);
  if (it == streams_.end())
    return;
  if (it->second.is_written)
    unremoved_.insert(stream);
  unwritten_.erase(stream);
  streams_.erase(it);
}

std::optional<StreamOrigin> StreamVersions::Find(
    const std::string& stream) const {
  const auto it = streams_.find(stream);
  if (it == streams_.end())
    return std::nullopt;
  return it->second.origin;
}

// A stream of which no row can be kept is judged by the rows of the pools.
void StreamVersions::LookUp(const std::string& stream,
                            const base::PoolName& pool,
                            base::CallerId caller,
                            base::TimePoint now) {
  const StreamCallId id{++last_call_};
  lookups_[id] = {stream, pool, caller, now, now - kMaxEndpointsAge};
  if (stream.empty() || stream.size() > kMaxKeyBytes)
    context_.Emit(ReadStreamRows{id, kPoolsPart, std::nullopt});
  else
    context_.Emit(ReadStreamRows{id, PartOf(stream), stream});
}

bool StreamVersions::KnowsVersions(const PendingLookup& lookup) const {
  return knows_pools_ && versions_.contains(lookup.pool) &&
         endpoints_known_as_of_ >= lookup.endpoints_needed_as_of;
}

// In a pool of one version a stream can have begun at no other. A host that was
// out of touch may not have heard of others: it waits until it has, and doesn't
// guess.
void StreamVersions::EndWithoutRow(PendingLookup lookup, base::TimePoint now) {
  const bool is_mixed = HasSeveralVersions(lookup.pool);
  const bool is_too_late = now - lookup.began >= kMaxConfirmationWait;
  if (!is_mixed && !is_too_late && !KnowsVersions(lookup)) {
    unconfirmed_lookups_.push_back(std::move(lookup));
    return;
  }
  Lookup ended{lookup.caller, lookup.stream, {}};
  if (!is_mixed && KnowsVersions(lookup)) {
    ended.origin = {lookup.pool, versions_.at(lookup.pool).begin()->first};
    ended.evidence = OriginEvidence::kOnlyVersion;
  }
  ended_lookups_.push_back(std::move(ended));
}

void StreamVersions::EndUnconfirmedLookups(base::TimePoint now) {
  for (PendingLookup& it : std::exchange(unconfirmed_lookups_, {}))
    EndWithoutRow(std::move(it), now);
}

// Versions may have come and gone while this host heard nothing; other hosts
// have written them to the rows of the pools.
void StreamVersions::NoteEndpointsKnown(base::TimePoint as_of,
                                        base::TimePoint now) {
  if (as_of == endpoints_known_as_of_)
    return;
  if (as_of - endpoints_known_as_of_ > kMaxEndpointsAge) {
    knows_pools_ = false;
    read_pools_at_ = now;
  }
  endpoints_known_as_of_ = as_of;
  EndUnconfirmedLookups(now);
}

std::optional<StreamVersions::Lookup> StreamVersions::TakeLookup() {
  if (ended_lookups_.empty())
    return std::nullopt;
  Lookup ended = std::move(ended_lookups_.front());
  ended_lookups_.pop_front();
  return ended;
}

void StreamVersions::Handle(const StreamRowsRead& event, base::TimePoint now) {
  if (event.id == pools_call_) {
    pools_call_.reset();
    knows_pools_ = true;
    ApplyPools(event.rows, now);
    EndUnconfirmedLookups(now);
    return;
  }
  const auto node = lookups_.extract(event.id);
  if (node.empty())
    return;
  PendingLookup& lookup = node.mapped();
  if (lookup.stream.empty() || lookup.stream.size() > kMaxKeyBytes) {
    ApplyPools(event.rows, now);
    EndWithoutRow(std::move(lookup), now);
    return;
  }
  const auto row = std::ranges::find_if(event.rows, [&](const StreamRow& it) {
    return it.key == lookup.stream && it.software_versions.size() == 1;
  });
  if (row == event.rows.end()) {
    EndWithoutRow(std::move(lookup), now);
    return;
  }
  const StreamOrigin origin{row->pool, row->software_versions.front()};
  streams_.try_emplace(lookup.stream, Stream{origin, true});
  begun_at_.emplace_back(now, lookup.stream);
  ended_lookups_.push_back(
      {lookup.caller, lookup.stream, origin, OriginEvidence::kRow});
}

// Versions that only a row names were listed before this host started.
void StreamVersions::ApplyPools(const std::vector<StreamRow>& rows,
                                base::TimePoint now) {
  for (const StreamRow& row : rows) {
    written_versions_[row.pool] = row.software_versions;
    for (const std::string& it : row.software_versions)
      versions_[row.pool].try_emplace(it, now);
  }
  for (const auto& [pool, versions] : versions_)
    NoteVersionsChanged(pool);
  std::erase_if(unwritten_, [this](const std::string& it) {
    return !IsMixed(streams_.at(it).origin.pool);
  });
}

void StreamVersions::Handle(const StreamRowsWritten& event) {
  const auto node = writes_.extract(event.id);
  if (node.empty())
    return;
  for (const StreamRow& row : node.mapped().written) {
    if (node.mapped().part == kPoolsPart) {
      written_versions_[row.pool] = row.software_versions;
      NoteVersionsChanged(row.pool);
      continue;
    }
    const auto it = streams_.find(row.key);
    // The stream has ended meanwhile.
    if (it == streams_.end())
      unremoved_.insert(row.key);
    else
      it->second.is_written = true;
  }
}

void StreamVersions::Handle(const StreamRowsFailed& event,
                            base::TimePoint now) {
  if (event.id == pools_call_) {
    pools_call_.reset();
    read_pools_at_ = now + kRetryDelay;
    return;
  }
  if (const auto node = lookups_.extract(event.id); !node.empty()) {
    PendingLookup& lookup = node.mapped();
    // The store may hold a row, of a version that came a moment ago.
    lookup.endpoints_needed_as_of = lookup.began;
    EndWithoutRow(std::move(lookup), now);
    return;
  }
  const auto node = writes_.extract(event.id);
  if (node.empty())
    return;
  next_flush_ = std::max(next_flush_, now + kRetryDelay);
  for (const StreamRow& row : node.mapped().written) {
    if (node.mapped().part == kPoolsPart)
      unwritten_pools_.insert(row.pool);
    else if (streams_.contains(row.key))
      unwritten_.insert(row.key);
    else
      unremoved_.insert(row.key);
  }
  unremoved_.insert(node.mapped().removed.begin(), node.mapped().removed.end());
}

std::optional<base::TimePoint> StreamVersions::FlushDue() const {
  if (!knows_pools_)
    return std::nullopt;
  if (!unwritten_.empty() || !unwritten_pools_.empty())
    return next_flush_;
  if (!unremoved_.empty())
    return std::max(next_flush_, next_removal_);
  return std::nullopt;
}

void StreamVersions::ForgetOldVersions(base::TimePoint now) {
  for (auto& [pool, times] : versions_) {
    const size_t n = std::erase_if(times, [now](const auto& it) {
      return it.second && now - *it.second >= kStreamLife;
    });
    if (n > 0)
      NoteVersionsChanged(pool);
  }
}

void StreamVersions::ForgetOldStreams(base::TimePoint now) {
  while (!begun_at_.empty() && now - begun_at_.front().first >= kStreamLife) {
    Forget(begun_at_.front().second);
    begun_at_.pop_front();
  }
}

void StreamVersions::ReadPools() {
  read_pools_at_.reset();
  pools_call_ = StreamCallId{++last_call_};
  context_.Emit(ReadStreamRows{*pools_call_, kPoolsPart, std::nullopt});
}

void StreamVersions::Write(WriteStreamRows rows) {
  rows.id = StreamCallId{++last_call_};
  writes_[rows.id] = rows;
  context_.Emit(std::move(rows));
}

void StreamVersions::Flush(base::TimePoint now) {
  next_flush_ = now + kFlushInterval;
  WriteStreamRows pools{{}, kPoolsPart, {}, {}};
  for (const base::PoolName& it : std::exchange(unwritten_pools_, {}))
    pools.written.push_back({it.value, it, NamesOf(versions_[it])});
  if (!pools.written.empty())
    Write(std::move(pools));
  std::map<std::string, WriteStreamRows> parts;
  const auto part_of = [&](const std::string& stream) -> WriteStreamRows& {
    WriteStreamRows& rows = parts[PartOf(stream)];
    rows.part = PartOf(stream);
    if (rows.written.size() + rows.removed.size() >= kMaxRowsPerWrite) {
      Write(std::exchange(rows, {}));
      rows.part = PartOf(stream);
    }
    return rows;
  };
  for (const std::string& it : std::exchange(unwritten_, {})) {
    const StreamOrigin& origin = streams_.at(it).origin;
    part_of(it).written.push_back({it, origin.pool, {origin.software_version}});
  }
  if (now >= next_removal_) {
    next_removal_ = now + kRemovalInterval;
    for (const std::string& it : std::exchange(unremoved_, {}))
      part_of(it).removed.push_back(it);
  }
  for (auto& [part, rows] : parts)
    Write(std::move(rows));
}

// Without streams that may be resumed, nothing is kept.
void StreamVersions::HandleTimer(base::TimePoint now) {
  EndUnconfirmedLookups(now);
  ForgetOldVersions(now);
  ForgetOldStreams(now);
  if (read_pools_at_ && *read_pools_at_ <= now && !resumable_pools_.empty())
    ReadPools();
  if (const auto due = FlushDue(); due && *due <= now)
    Flush(now);
}

std::optional<base::TimePoint> StreamVersions::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  if (!resumable_pools_.empty())
    consider(read_pools_at_);
  consider(FlushDue());
  for (const PendingLookup& it : unconfirmed_lookups_)
    consider(it.began + kMaxConfirmationWait);
  if (!begun_at_.empty())
    consider(begun_at_.front().first + kStreamLife);
  for (const auto& [pool, times] : versions_) {
    for (const auto& [version, gone] : times) {
      if (gone)
        consider(*gone + kStreamLife);
    }
  }
  return next;
}

}  // namespace bilberry::forward
