#include <doctest/doctest.h>

#include <sstream>

#include "LibReport/service_recorder.h"
#include "LibTransport/json_text.h"
#include "LibTransport/metrics_text.h"
#include "LibTransport/report_codec.h"

namespace bilberry::transport {
namespace {

using namespace std::chrono_literals;
using report::RunOutcome;

report::ServiceReport SmallReport() {
  report::ServiceRecorder recorder;
  recorder.Record({{"q\"x\n"},
                   {"t"},
                   declare::Rank::kUrgent,
                   RunOutcome::kMet,
                   30ms,
                   {{{"s"}, 0, 2ms, 20ms}}},
                  base::TimePoint(1s));
  recorder.Record({{"r"},
                   {"u"},
                   declare::Rank::kBackground,
                   RunOutcome::kDeadlineExpired,
                   9s,
                   {{{"s"}, 0, 1ms, 8s}}},
                  base::TimePoint(2s));
  recorder.NoteRefusedUnready();
  report::ServiceReport report = recorder.Report(base::TimePoint(2s));
  report.revision = 7;
  report.targets = {99.5, 99, 95};
  return report;
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("a report survives encoding and decoding") {
  const report::ServiceReport from = SmallReport();
  const auto text = PrintCompact(EncodeReport(from));
  const auto value = ParseJsonValue(text);
  REQUIRE(value);
  auto into = DecodeReport(*value);
  REQUIRE(into);
  CHECK(PrintCompact(EncodeReport(into.value())) == text);
  CHECK(into.value().revision == 7);
  CHECK(into.value().targets == from.targets);
  CHECK(into.value().stages.at({"r", "s"}).wasted == 8s);
  CHECK(into.value().teams == from.teams);
  CHECK(into.value().outcomes == from.outcomes);
}

TEST_CASE("malformed reports are rejected") {
  for (
      const char* text :
      {"[]", "3", R"({"hosts": "x"})", R"({"hosts": -1})",
       R"({"ranks": [{"rank": "high"}]})", R"({"teams": [3]})",
       R"({"ranks": [{"rank": "urgent", "value": {"latency": [[-9, 1]]}}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeReport(*ParseJsonValue(text)));
  }
}

TEST_CASE("metrics are printed in the text exposition format") {
  node::NodeStatus status;
  status.revision = base::Revision{7};
  status.readiness = node::Readiness::kReady;
  status.pools = {{{"banco"}, 3, 2, 1}};
  const std::string text = PrintMetrics(status, SmallReport());
  for (const char* line :
       {"bilberry_configuration_revision 7\n", "bilberry_ready 1\n",
        "bilberry_pool_queued_stages{pool=\"banco\"} 1\n",
        "bilberry_runs_total{rank=\"background\",pipeline=\"r\",outcome="
        "\"lapsed\"} 1\n",
        "bilberry_runs_total{rank=\"urgent\",pipeline=\"q\\\"x\\n\",outcome="
        "\"met\"} 1\n",
        "bilberry_stage_service_seconds_sum{pipeline=\"r\",stage=\"s\"} "
        "8.000000\n",
        "bilberry_stage_service_seconds_count{pipeline=\"r\",stage=\"s\"} 1\n",
        "bilberry_stage_wasted_seconds_total{pipeline=\"r\",stage=\"s\"} "
        "8.000000\n"}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    const bool is_comment = line.starts_with("# HELP bilberry_") ||
                            line.starts_with("# TYPE bilberry_");
    CHECK((is_comment || line.starts_with("bilberry_")));
    CHECK(line.find(' ') != std::string::npos);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
