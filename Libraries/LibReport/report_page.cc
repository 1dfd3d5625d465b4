#include "LibReport/report_page.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

#include "LibReport/report_tables.h"

namespace bilberry::report {

namespace {

constexpr double kPercent = 100.0;
constexpr double kLabelWidth = 220;
constexpr double kBarWidth = 420;
constexpr double kRowHeight = 22;
constexpr double kBarHeight = 14;
constexpr double kPlotWidth = kLabelWidth + kBarWidth + 140;
constexpr double kTextBaseline = 12;
// The burn rate drawn at full width; higher ones are cut off so that one bad
// rank doesn't hide the others.
constexpr double kMaxBurnRate = 20;
// Smallest width at which a nonzero bar is visible.
constexpr double kMinBarWidth = 1;
constexpr size_t kMaxStageBars = 60;

constexpr const char* kHead =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<style>body{font:14px sans-serif;margin:2em;color:#222;background:#fff}"
    "table{border-collapse:collapse;margin:0 0 2em}"
    "td,th{padding:3px 9px;border-bottom:1px solid #ddd;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "svg{display:block;margin:0 0 2em}svg text{font:12px sans-serif}"
    ".urgent{fill:#b3261e}.ordinary{fill:#1f5fa8}.background{fill:#6b6b6b}"
    ".wait{fill:#e0a030}.service{fill:#2e7d4f}.wasted{fill:#b3261e}"
    ".mark{stroke:#222;stroke-width:2}.frame{stroke:#999;fill:none}"
    "</style>\n";

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char it : text) {
    switch (it) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += it;
    }
  }
  return escaped;
}

// Draws rows of horizontal bars, each with a label on the left and figures on
// the right.
class BarPlot {
 public:
  explicit BarPlot(std::string title) : title_(std::move(title)) {}

  void BeginRow(const std::string& label) {
    Text(0, label);
    x_ = kLabelWidth;
  }

  // `share` is the part of the full width, from 0 to 1.
  void AddBar(double share, const std::string& style) {
    const double width = std::clamp(share, 0.0, 1.0) * kBarWidth;
    if (width <= 0)
      return;
    body_ += "<rect class=\"" + style + "\" x=\"" + NumberText(x_) + "\" y=\"" +
             NumberText(y_) + "\" width=\"" +
             NumberText(std::max(width, kMinBarWidth)) + "\" height=\"" +
             NumberText(kBarHeight) + "\"/>";
    x_ += width;
  }

  void AddMark(double share) {
    const std::string x =
        NumberText(kLabelWidth + std::clamp(share, 0.0, 1.0) * kBarWidth);
    body_ += "<line class=\"mark\" x1=\"" + x + "\" x2=\"" + x + "\" y1=\"" +
             NumberText(y_ - 2) + "\" y2=\"" + NumberText(y_ + kBarHeight + 2) +
             "\"/>";
  }

  void EndRow(const std::string& figures) {
    Text(kLabelWidth + kBarWidth + 8, figures);
    body_ += "\n";
    y_ += kRowHeight;
  }

  std::string Print() const {
    return "<h2>" + Escape(title_) + "</h2>\n<svg width=\"" +
           NumberText(kPlotWidth) + "\" height=\"" + NumberText(y_) +
           "\" role=\"img\" aria-label=\"" + Escape(title_) + "\">\n" + body_ +
           "</svg>\n";
  }

 private:
  void Text(double x, const std::string& text) {
    body_ += "<text x=\"" + NumberText(x) + "\" y=\"" +
             NumberText(y_ + kTextBaseline) + "\">" + Escape(text) + "</text>";
  }

  std::string title_;
  std::string body_;
  double x_ = 0;
  double y_ = 4;
};

std::string AttainmentPlot(const ServiceReport& report) {
  BarPlot plot("Deadlines met by rank, in percent; the mark is the target");
  for (const auto& [rank, it] : report.ranks) {
    const double met = AttainmentPercent(it.level.total);
    const std::string name(ToText(rank));
    plot.BeginRow(name);
    plot.AddBar(met / kPercent, name);
    plot.AddMark(report.TargetOf(rank) / kPercent);
    plot.EndRow(NumberText(met));
  }
  return plot.Print();
}

std::string BurnPlot(const ServiceReport& report) {
  BarPlot plot(
      "Burn rate over 5 minutes and 1 hour; at the mark, 1, the budget lasts "
      "just its day");
  for (const auto& [rank, it] : report.ranks) {
    const LevelSummary summary = Summarize(it.level, report.TargetOf(rank));
    const std::string name(ToText(rank));
    for (const auto& [window, burn] :
         {std::pair{" 5 min", summary.short_burn_rate},
          std::pair{" 1 h", summary.long_burn_rate}}) {
      plot.BeginRow(name + window);
      plot.AddBar(burn / kMaxBurnRate, name);
      plot.AddMark(1 / kMaxBurnRate);
      plot.EndRow(NumberText(burn));
    }
  }
  return plot.Print();
}

std::string StagePlot(const ServiceReport& report) {
  base::Duration longest{1};
  std::vector<std::pair<base::Duration, const StageKey*>> stages;
  for (const auto& [key, it] : report.stages) {
    longest = std::max(longest, it.waited + it.spent);
    stages.emplace_back(it.waited + it.spent, &key);
  }
  std::ranges::stable_sort(stages, std::greater(),
                           [](const auto& it) { return it.first; });
  BarPlot plot(
      "Where the time went by stage, the costliest 60, in seconds: queue "
      "(amber), service "
      "(green), service wasted on runs that missed (red)");
  stages.resize(std::min(stages.size(), kMaxStageBars));
  for (const auto& [time, key] : stages) {
    const StageLevel& it = report.stages.at(*key);
    const auto share = [longest](base::Duration part) {
      return static_cast<double>(part.count()) /
             static_cast<double>(longest.count());
    };
    plot.BeginRow(key->pipeline + " / " + key->stage);
    plot.AddBar(share(it.waited), "wait");
    plot.AddBar(share(it.spent - it.wasted), "service");
    plot.AddBar(share(it.wasted), "wasted");
    plot.EndRow(NumberText(static_cast<double>(time.count()) / 1e6));
  }
  return plot.Print();
}

// Draws each team as a dot: the number of runs along x, the share of deadlines
// met along y.
std::string TeamPlot(const ServiceReport& report) {
  constexpr double kHeight = 220;
  constexpr double kRadius = 4;
  double most = 1;
  for (const auto& [key, level] : report.teams)
    most = std::max(most,
                    std::log10(1.0 + static_cast<double>(level.total.total())));
  std::string body;
  for (const auto& [key, level] : report.teams) {
    const auto runs = static_cast<double>(level.total.total());
    const double x = kRadius + std::log10(1.0 + runs) / most * kBarWidth;
    const double met = AttainmentPercent(level.total);
    const double y = kRadius + (1 - met / kPercent) * kHeight;
    body += "<circle class=\"";
    body += ToText(key.rank);
    body += "\" cx=\"" + NumberText(x) + "\" cy=\"" + NumberText(y);
    body += "\" r=\"" + NumberText(kRadius) + "\"><title>";
    body += Escape(key.name) + ", ";
    body += ToText(key.rank);
    body += ": " + std::to_string(level.total.total()) + " runs, ";
    body += NumberText(met) + "% met</title></circle>\n";
  }
  return "<h2>Teams, small beside large: runs (logarithmic, to the right) and "
         "deadlines met (0% below, 100% above)</h2>\n<svg width=\"" +
         NumberText(kBarWidth + 2 * kRadius) + "\" height=\"" +
         NumberText(kHeight + 2 * kRadius) +
         "\" role=\"img\" aria-label=\"Teams\"><rect class=\"frame\" "
         "width=\"100%\" height=\"100%\"/>\n" +
         body + "</svg>\n";
}

std::string PrintCells(const std::vector<std::string>& cells,
                       const std::string& tag) {
  std::string text = "<tr>";
  for (const std::string& cell : cells) {
    text += "<" + tag + ">";
    text += Escape(cell);
    text += "</" + tag + ">";
  }
  return text + "</tr>\n";
}

std::string PrintTable(const TextTable& table) {
  std::string text = "<h2>" + Escape(table.title) + "</h2>\n<table>" +
                     PrintCells(table.head, "th");
  for (const auto& row : table.rows)
    text += PrintCells(row, "td");
  return text + "</table>\n";
}

}  // namespace

std::string PrintPage(const ServiceReport& report, const std::string& title) {
  std::string text = std::string(kHead) + "<title>" + Escape(title) +
                     "</title></head><body>\n<h1>" + Escape(title) + "</h1>\n";
  text += "<p>" + std::to_string(report.hosts) +
          " entry hosts, configuration revision " +
          std::to_string(report.revision) + ".</p>\n";
  text += AttainmentPlot(report) + BurnPlot(report) + TeamPlot(report) +
          StagePlot(report);
  for (const TextTable& table : TablesOf(report))
    text += PrintTable(table);
  return text + "</body></html>\n";
}

}  // namespace bilberry::report
