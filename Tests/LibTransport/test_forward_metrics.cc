#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibTransport/forward_metrics.h"

namespace bilberry::transport {
namespace {

bool Holds(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

forward::WriteLog EndedLine(const std::string& pipeline,
                            const std::string& first_ms) {
  return {base::LogEventId::kRequestEnded,
          "r1",
          {{"outcome", "answered 200"},
           {"pipeline", pipeline},
           {"urgency", "1"},
           {"ms", "700"},
           {"first_ms", first_ms}}};
}

TEST_CASE("log lines are counted and their durations are observed") {
  ForwardMetrics metrics;
  metrics.RecordLine(EndedLine("draft", "80"));
  metrics.RecordLine(EndedLine("draft", ""));
  metrics.RecordStoreCall("list", "200");
  metrics.RecordStoreCall("list", "none");
  metrics.RecordTableBytes("peer", 300);
  metrics.RecordTableBytes("peer", 42);
  metrics.SetDroppedLines({{"request-ended", 7}});
  metrics.SetReady(true);
  const std::string text = metrics.Print();
  CHECK(Holds(text, "bilberry_ready 1"));
  CHECK(Holds(text, "bilberry_table_bytes_total{call=\"peer\"} 342"));
  CHECK(Holds(text,
              "bilberry_requests_total{pipeline=\"draft\",urgency=\"1\","
              "outcome=\"answered 200\"} 2"));
  CHECK(Holds(text, "# TYPE bilberry_request_duration_seconds histogram"));
  CHECK(Holds(text,
              "bilberry_request_duration_seconds_bucket{pipeline="
              "\"draft\",le=\"0.5\"} 0"));
  CHECK(Holds(text,
              "bilberry_request_duration_seconds_bucket{pipeline="
              "\"draft\",le=\"0.75\"} 2"));
  CHECK(Holds(text,
              "bilberry_request_duration_seconds_bucket{pipeline="
              "\"draft\",le=\"+Inf\"} 2"));
  CHECK(Holds(text,
              "bilberry_request_duration_seconds_sum{pipeline=\"draft\"} 1.4"));
  // A request whose answer never began has no time to the first byte.
  CHECK(Holds(text, "bilberry_first_byte_seconds_count{pipeline=\"draft\"} 1"));
  CHECK(Holds(text,
              "bilberry_store_calls_total{call=\"list\",answer=\"none\"} 1"));
  CHECK(Holds(text,
              "bilberry_log_lines_left_out_total{event=\"request-"
              "ended\"} 7"));
}

// Guards against placements and refusals that an operator can't attribute.
TEST_CASE("placements and refusals are counted by their fields") {
  ForwardMetrics metrics;
  for (const char* outcome : {"placed", "placed", "timeout"})
    metrics.RecordLine({base::LogEventId::kPlacementEnded,
                        "r1",
                        {{"outcome", outcome}, {"expected_ms", "40"}}});
  metrics.RecordLine(
      {base::LogEventId::kRequestRefused,
       "r2",
       {{"reason", "late"}, {"team", "desk"}, {"pipeline", "draft"}}});
  CHECK(metrics.Print().find("bilberry_placement_runs") == std::string::npos);
  metrics.SetPlacements(
      {{{{"p"}, {"z"}}, {"e1"}, 3, 9190, 1.5, std::chrono::milliseconds(250)}});
  const std::string text = metrics.Print();
  const std::string labels = R"({pool="p",zone="z",endpoint="e1"} )";
  CHECK(Holds(text, R"(bilberry_placements_total{outcome="placed"} 2)"));
  CHECK(Holds(text, R"(bilberry_placements_total{outcome="timeout"} 1)"));
  CHECK(Holds(text, "bilberry_placement_expected_first_event_seconds_count 3"));
  CHECK(Holds(text,
              "bilberry_requests_refused_total{reason=\"late\",team=\"desk\","
              "pipeline=\"draft\"} 1"));
  CHECK(Holds(text, "bilberry_placement_runs" + labels + "3"));
  CHECK(Holds(text, "bilberry_placement_tokens_to_prefill" + labels + "9190"));
  CHECK(Holds(text, "bilberry_placement_pace" + labels + "1.5"));
  CHECK(
      Holds(text, "bilberry_placement_first_event_seconds" + labels + "0.25"));
}

TEST_CASE("labels are escaped and their cardinality is bounded") {
  ForwardMetrics metrics;
  metrics.RecordLine(EndedLine("a\"b\nc", "1"));
  CHECK(Holds(metrics.Print(),
              "bilberry_request_duration_seconds_count{pipeline="
              "\"a\\\"b\\nc\"} 1"));
  for (int i = 0; i < 5000; ++i)
    metrics.RecordLine(EndedLine("p" + std::to_string(i), "1"));
  CHECK(metrics.Print().size() < 2'000'000);
  CHECK(metrics.Print().find("pipeline=\"other\"") != std::string::npos);
}

}  // namespace
}  // namespace bilberry::transport
