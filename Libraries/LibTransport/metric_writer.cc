#include "LibTransport/metric_writer.h"

#include <sstream>

namespace bilberry::transport {

namespace {

// Escapes backslashes, quotes and line feeds, as the exposition format
// requires.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char it : text) {
    if (it == '\n') {
      escaped += "\\n";
      continue;
    }
    if (it == '\\' || it == '"')
      escaped += '\\';
    escaped += it;
  }
  return escaped;
}

// Formats a number without the trailing zeros of std::to_string().
std::string NumberText(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

}  // namespace

MetricWriter::MetricWriter(std::string& out,
                           std::string_view name,
                           std::string_view type,
                           std::string_view help)
    : out_(out), name_(name) {
  out_.append("# HELP ").append(name).append(" ").append(help).append("\n");
  out_.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void MetricWriter::AddSuffixed(std::string_view suffix,
                               const MetricLabels& labels,
                               const std::string& value) {
  out_.append(name_).append(suffix);
  const char* separator = "{";
  for (const MetricLabel& label : labels) {
    out_.append(separator).append(label.key).append("=\"");
    out_.append(Escape(label.value)).append("\"");
    separator = ",";
  }
  out_.append(labels.empty() ? " " : "} ").append(value).append("\n");
}

void MetricWriter::AddHistogram(const MetricLabels& labels,
                                std::span<const double> bounds,
                                std::span<const uint64_t> buckets,
                                double sum) {
  uint64_t count = 0;
  for (size_t i = 0; i < buckets.size(); ++i) {
    count += buckets[i];
    MetricLabels with_bound = labels;
    with_bound.push_back(
        {"le", i < bounds.size() ? NumberText(bounds[i]) : "+Inf"});
    AddSuffixed("_bucket", with_bound, std::to_string(count));
  }
  AddSuffixed("_sum", labels, NumberText(sum));
  AddSuffixed("_count", labels, std::to_string(count));
}

}  // namespace bilberry::transport
