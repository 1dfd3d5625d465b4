#include "LibOperator/placement_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::operators {

namespace {

constexpr std::string_view kPrefix = "bilberry_placement_";
constexpr double kMillisecondsPerSecond = 1000;

using Labels = std::map<std::string, std::string, std::less<>>;

// A sample of the Prometheus text format.
struct Sample {
  std::string name;
  Labels labels;
  double value = 0;
};

// Reads a quoted value, resolves its escapes and removes it from `text`.
std::optional<std::string> TakeQuoted(std::string_view& text) {
  if (!text.starts_with('"'))
    return std::nullopt;
  std::string value;
  for (size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return value;
    }
    const bool is_escape = text[i] == '\\' && i + 1 < text.size();
    if (is_escape)
      ++i;
    value += is_escape && text[i] == 'n' ? '\n' : text[i];
  }
  return std::nullopt;
}

// Reads labels up to the closing brace and removes them from `text`.
std::optional<Labels> TakeLabels(std::string_view& text) {
  Labels labels;
  while (!text.starts_with('}')) {
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos)
      return std::nullopt;
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    auto value = TakeQuoted(text);
    if (!value)
      return std::nullopt;
    labels[std::move(key)] = std::move(*value);
    if (text.starts_with(','))
      text.remove_prefix(1);
  }
  text.remove_prefix(1);
  return labels;
}

std::optional<Sample> ParseSample(std::string_view line) {
  const size_t brace = line.find('{');
  if (brace == std::string_view::npos)
    return std::nullopt;
  Sample sample;
  sample.name = std::string(line.substr(0, brace));
  line.remove_prefix(brace + 1);
  auto labels = TakeLabels(line);
  if (!labels || !line.starts_with(' '))
    return std::nullopt;
  sample.labels = std::move(*labels);
  const char* end = line.data() + line.size();
  const auto [rest, ec] = std::from_chars(line.data() + 1, end, sample.value);
  if (ec != std::errc() || rest != end || !std::isfinite(sample.value))
    return std::nullopt;
  return sample;
}

}  // namespace

void PlacementTable::AddPage(const std::string& host, std::string_view page) {
  while (!page.empty()) {
    const std::string_view line = page.substr(0, page.find('\n'));
    page.remove_prefix(std::min(line.size() + 1, page.size()));
    if (!line.starts_with(kPrefix))
      continue;
    auto sample = ParseSample(line);
    if (!sample || !sample->labels.contains("endpoint"))
      continue;
    const Key key{sample->labels["pool"], sample->labels["zone"],
                  sample->labels["endpoint"], host};
    rows_[key][sample->name.substr(kPrefix.size())] = sample->value;
  }
}

report::TextTable PlacementTable::ToTable() const {
  report::TextTable table{"Placements",
                          {"endpoint", "pool", "zone", "owner", "pace",
                           "in flight", "tokens to prefill", "first event ms"},
                          {}};
  for (const auto& row : rows_) {
    const Key& key = row.first;
    const auto& values = row.second;
    const auto value_of = [&values](std::string_view name) {
      const auto it = values.find(name);
      return it == values.end() ? std::nullopt : std::optional(it->second);
    };
    const auto whole = [](std::optional<double> number, double scale = 1) {
      return number ? std::to_string(std::llround(*number * scale)) : "?";
    };
    const auto pace = value_of("pace");
    table.rows.push_back(
        {key.endpoint, key.pool, key.zone, key.owner,
         pace ? report::NumberText(*pace) : "?", whole(value_of("runs")),
         whole(value_of("tokens_to_prefill")),
         whole(value_of("first_event_seconds"), kMillisecondsPerSecond)});
  }
  return table;
}

}  // namespace bilberry::operators
