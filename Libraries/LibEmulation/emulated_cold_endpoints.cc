#include "LibEmulation/emulated_cold_endpoints.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{1};
// Each endpoint rewrites its entry at this period, shifted by its index so that
// the endpoints don't all write at once.
constexpr milliseconds kWritePeriod{1000};
constexpr milliseconds kWriteShift{37};
// A starting endpoint is listed this long after its cold period begins.
constexpr milliseconds kListingDelay{50};
// Arrivals are checked for bursts for this long after the cold period.
constexpr seconds kBurstCheckTime{4};

}  // namespace

void EmulatedColdEndpoints::Add(const forward::ListedEndpoint& endpoint,
                                uint32_t index) {
  Endpoint& added = endpoints_[endpoint.name];
  added.listed = endpoint;
  added.index = index;
  for (const PoolColdPeriod& it : scenario_.cold_periods) {
    if (it.pool == endpoint.pool.value && it.starts && index % it.one_in == 0)
      added.starts = base::TimePoint::max();
  }
}

void EmulatedColdEndpoints::Begin(base::TimePoint now) {
  for (auto& [name, endpoint] : endpoints_) {
    for (const PoolColdPeriod& it : scenario_.cold_periods) {
      if (it.pool != endpoint.listed.pool.value)
        continue;
      endpoint.cold_until = now + it.at + it.lasts;
      endpoint.is_ever_cold = endpoint.index % it.one_in == 0;
      endpoint.cold_from =
          endpoint.is_ever_cold ? now + it.at : endpoint.cold_until;
      if (!endpoint.is_ever_cold)
        continue;
      if (it.starts)
        endpoint.starts = endpoint.cold_from;
      AddEntryWrites(endpoint);
    }
  }
  std::ranges::stable_sort(entry_writes_, {}, &EntryWrite::time);
}

void EmulatedColdEndpoints::AddEntryWrites(const Endpoint& endpoint) {
  const base::Duration first =
      endpoint.starts ? base::Duration(kListingDelay)
                      : kWriteShift * endpoint.index % kWritePeriod;
  for (base::TimePoint time = endpoint.cold_from + first;
       time < endpoint.cold_until + kWritePeriod; time += kWritePeriod)
    entry_writes_.push_back(
        {time, endpoint.listed.name,
         std::max<base::Duration>(endpoint.cold_until - time,
                                  base::Duration(0))});
}

void EmulatedColdEndpoints::Relist(const base::EndpointName& name,
                                   base::Incarnation incarnation,
                                   base::TimePoint now) {
  endpoints_.at(name).listed.incarnation = incarnation;
  const auto later =
      std::ranges::upper_bound(entry_writes_, now, {}, &EntryWrite::time);
  entry_writes_.insert(later, {now, name, base::Duration(0)});
}

uint64_t EmulatedColdEndpoints::VersionAt(base::TimePoint now) const {
  const auto end =
      std::ranges::upper_bound(entry_writes_, now, {}, &EntryWrite::time);
  return static_cast<uint64_t>(end - entry_writes_.begin()) + 1;
}

forward::FeedRow EmulatedColdEndpoints::RowOf(const EntryWrite& writing) const {
  forward::ListedEndpoint listed = endpoints_.at(writing.name).listed;
  listed.cold_for = writing.cold_for;
  return {writing.name.value, listed};
}

std::vector<forward::FeedRow> EmulatedColdEndpoints::RowsSince(
    uint64_t version,
    base::TimePoint now) const {
  std::map<base::EndpointName, const EntryWrite*> newest;
  for (uint64_t i = std::max<uint64_t>(version, 1); i < VersionAt(now); ++i)
    newest[entry_writes_.at(i - 1).name] = &entry_writes_.at(i - 1);
  std::vector<forward::FeedRow> rows;
  rows.reserve(newest.size());
  for (const auto& [name, writing] : newest)
    rows.push_back(RowOf(*writing));
  return rows;
}

std::vector<forward::FeedRow> EmulatedColdEndpoints::RowsAt(
    base::TimePoint now) const {
  std::map<base::EndpointName, forward::FeedRow> rows;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.starts)
      rows[name] = {name.value, endpoint.listed};
  }
  for (forward::FeedRow& row : RowsSince(1, now))
    rows[{row.key}] = std::move(row);
  std::vector<forward::FeedRow> all;
  all.reserve(rows.size());
  for (auto& [name, row] : rows)
    all.push_back(std::move(row));
  return all;
}

void EmulatedColdEndpoints::NoteArrival(const forward::ListedEndpoint& endpoint,
                                        base::TimePoint now) {
  const auto it = endpoints_.find(endpoint.name);
  if (it == endpoints_.end() || now < it->second.cold_from ||
      now >= it->second.cold_until + kBurstCheckTime)
    return;
  Endpoint& noted = it->second;
  noted.arrivals.push_back(now);
  while (noted.arrivals.front() <= now - kWindow)
    noted.arrivals.pop_front();
  const double allowed = scenario_.cold_per_second * scenario_.cold_factor +
                         scenario_.cold_allowance;
  const double part = static_cast<double>(noted.arrivals.size()) / allowed;
  if (now >= noted.cold_until) {
    double& most = noted.is_ever_cold ? report_.max_usage_after_cold
                                      : report_.max_usage_of_warm;
    most = std::max(most, part);
    return;
  }
  ++report_.cold_arrivals;
  report_.max_cold_usage = std::max(report_.max_cold_usage, part);
  if (part > 1)
    ++report_.sent_over_cold;
}

}  // namespace bilberry::emulation
