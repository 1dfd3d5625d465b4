#include "LibEmulation/emulation_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bilberry::emulation {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kBytesPerGigabyte = 1e9;
constexpr int kPercent = 100;
constexpr int kBarLength = 50;

double Share(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double Seconds(base::Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

void PrintKinds(const EmulationReport& report, std::ostream& out) {
  out << "kind       asked  on time %  late %  refused %  left %  failed %  "
         "refusals  ms to refuse\n";
  for (const auto& [name, tally] : report.kinds) {
    const auto total = static_cast<double>(tally.total);
    const auto percent = [total](uint64_t n) {
      return kPercent * Share(static_cast<double>(n), total);
    };
    out << std::left << std::setw(9) << name << std::right << std::setw(7)
        << tally.total << std::setw(11) << percent(tally.on_time)
        << std::setw(8) << percent(tally.late) << std::setw(11)
        << percent(tally.refused) << std::setw(8) << percent(tally.left)
        << std::setw(10) << percent(tally.failed) << std::setw(10)
        << tally.refusals << std::setw(14)
        << Share(Seconds(tally.refused_in) * 1000,
                 static_cast<double>(tally.refusals))
        << "\n";
  }
}

void PrintPools(const EmulationReport& report, std::ostream& out) {
  out << "pool      endpoints  fill %  busy %  unused %  no room  inputs "
         "gone\n";
  for (const auto& [name, tally] : report.pools) {
    const double available =
        static_cast<double>(tally.endpoints) * Seconds(report.lasted);
    out << std::left << std::setw(10) << name << std::right << std::setw(9)
        << tally.endpoints << std::setw(8) << kPercent * tally.fill()
        << std::setw(8) << kPercent * Share(Seconds(tally.busy), available)
        << std::setw(10)
        << kPercent * Share(Seconds(tally.unused), Seconds(tally.busy))
        << std::setw(9) << tally.no_memory << std::setw(13) << tally.inputs_gone
        << "\n";
  }
}

void PrintSeconds(const EmulationReport& report, std::ostream& out) {
  out << "second  asked  on time (#) and late (-)\n";
  for (size_t i = 0; i < report.seconds.size(); ++i) {
    const CallerTally& tally = report.seconds[i];
    const auto total = static_cast<double>(tally.total);
    const auto bar = [total](uint64_t n) {
      return static_cast<size_t>(kBarLength *
                                 Share(static_cast<double>(n), total));
    };
    out << std::setw(6) << i << std::setw(7) << tally.total << "  "
        << std::string(bar(tally.on_time), '#')
        << std::string(bar(tally.late), '-') << "\n";
  }
}

// The engines' median times to the first event, and the streams' pauses.
void PrintEngines(const EmulationReport& report, std::ostream& out) {
  std::vector<base::Duration> all;
  std::vector<base::Duration> medians;
  for (const auto& [engine, times] : report.first_events) {
    medians.push_back(Percentile(times, 0.5));
    std::ranges::copy(times, std::back_inserter(all));
  }
  uint64_t paused = 0;
  for (const auto& [name, tally] : report.kinds)
    paused += tally.paused;
  const auto ms = [](base::Duration it) { return Seconds(it) * 1000; };
  out << std::setprecision(0) << "ms to the first event: median "
      << ms(Percentile(all, 0.5)) << ", by engine "
      << ms(Percentile(medians, 0)) << " to " << ms(Percentile(medians, 1))
      << "; longest pause of a stream: "
      << "median " << ms(Percentile(report.longest_pauses, 0.5)) << " ms, 90% "
      << ms(Percentile(report.longest_pauses, 0.9)) << " ms; late by a pause "
      << paused << "; placements asked " << report.placements_asked << "\n";
}

}  // namespace

double CallerTally::on_time_share() const {
  return Share(static_cast<double>(on_time), static_cast<double>(total));
}

double PoolTally::fill() const {
  return Share(static_cast<double>(pieces),
               static_cast<double>(calls * pieces_per_call));
}

double EmulationReport::worth_share() const {
  return Share(worth_earned, worth_requested);
}

base::Duration Percentile(std::vector<base::Duration> durations, double share) {
  if (durations.empty())
    return base::Duration(0);
  const auto rank =
      static_cast<ptrdiff_t>(share * static_cast<double>(durations.size() - 1));
  std::ranges::nth_element(durations, durations.begin() + rank);
  return durations[static_cast<size_t>(rank)];
}

std::string Print(const EmulationReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << report.scenario << " on " << report.hosts << " hosts, "
      << Seconds(report.lasted) << " s\n";
  PrintKinds(report, out);
  PrintPools(report, out);
  PrintSeconds(report, out);
  const double host_seconds = report.hosts * Seconds(report.lasted);
  out << std::setprecision(3) << "worth " << report.worth_share()
      << ", results between zones "
      << static_cast<double>(report.bytes_between_zones) / kBytesPerGigabyte
      << " GB, shared tokens read again " << std::setprecision(0)
      << report.tokens_prefilled_again / 1000
      << "k, messages a host and second " << std::setprecision(1)
      << Share(static_cast<double>(report.messages), host_seconds)
      << ", at the busiest "
      << Share(static_cast<double>(report.most_messages),
               Seconds(report.lasted))
      << "; calls to the store " << report.store_calls << ", dispatchers lost "
      << report.dispatchers_lost << "\n";
  if (!report.longest_pauses.empty())
    PrintEngines(report, out);
  if (report.limited_arrivals > 0)
    out << "endpoints with a limit got " << report.limited_arrivals
        << " requests, in four seconds at the most " << std::setprecision(2)
        << report.max_limit_usage << " of what they may get; over their limit "
        << report.sent_over_limit << "\n";
  return out.str();
}

}  // namespace bilberry::emulation
