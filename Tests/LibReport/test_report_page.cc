#include <doctest/doctest.h>

#include <string>

#include "LibReport/report_page.h"
#include "LibReport/report_tables.h"
#include "LibReport/service_recorder.h"

namespace bilberry::report {
namespace {

using namespace std::chrono_literals;
using declare::Rank;

EndedRun RunOf(Rank rank, const char* team, RunOutcome outcome) {
  return {
      {"p-" + std::string(ToText(rank))},           {team}, rank, outcome, 20ms,
      {{{"z"}, 0, 2ms, 10ms}, {{"a"}, 1, 1ms, 1ms}}};
}

ServiceReport SmallReport() {
  ServiceRecorder recorder;
  const base::TimePoint now(1s);
  recorder.Record(RunOf(Rank::kBackground, "large", RunOutcome::kMet), now);
  for (int i = 0; i < 9; ++i)
    recorder.Record(RunOf(Rank::kUrgent, "large", RunOutcome::kMet), now);
  recorder.Record(RunOf(Rank::kUrgent, "<small&", RunOutcome::kDeadlineExpired),
                  now);
  ServiceReport report = recorder.Report(now);
  report.targets = {80, 100, 95};
  return report;
}

TEST_CASE("tables are sorted by urgency and by ascending team size") {
  const auto tables = TablesOf(SmallReport());
  REQUIRE(tables.size() == 4);
  for (const TextTable& table : tables) {
    for (const auto& row : table.rows)
      CHECK(row.size() == table.head.size());
  }
  CHECK(tables[0].rows[0][0] == "urgent");
  CHECK(tables[0].rows[1][0] == "background");
  CHECK(tables[1].rows[0][0] == "p-urgent");
  CHECK(tables[2].rows[0][0] == "p-urgent");
  // Stages are in the order of the pipeline, not sorted by name.
  CHECK(tables[2].rows[0][1] == "z");
  CHECK(tables[2].rows[1][1] == "a");
  CHECK(tables[3].rows[0][0] == "<small&");
  CHECK(tables[3].rows[1][0] == "large");
  // Ten runs with one miss at a target of 80%: half of the error budget is
  // used.
  CHECK(tables[0].rows[0][2] == "90.00");
  CHECK(tables[0].rows[0][4] == "0.50");
  CHECK(tables[0].rows[0][6] == "50.00");
  CHECK(tables[2].rows[0].back() == "10.00");
  CHECK(tables[3].rows[0].back() == "10.00");
}

TEST_CASE("columns of a printed table are aligned") {
  const std::string text =
      PrintText({"T", {"name", "n"}, {{"a", "10"}, {"bcdef", "2"}}});
  CHECK(text == "T\nname    n\na      10\nbcdef   2\n");
}

TEST_CASE("the page is self-contained and escapes its texts") {
  const std::string page = PrintPage(SmallReport(), "<night>");
  CHECK(page.starts_with("<!doctype html>"));
  CHECK(page.ends_with("</body></html>\n"));
  CHECK(page.find("<small&") == std::string::npos);
  CHECK(page.find("&lt;small&amp;") != std::string::npos);
  CHECK(page.find("<title>&lt;night&gt;</title>") != std::string::npos);
  for (const char* outside : {"http", "src=", "href=", "@import", "url("})
    CHECK(page.find(outside) == std::string::npos);
  size_t plots = 0;
  for (size_t at = page.find("<svg"); at != std::string::npos;
       at = page.find("<svg", at + 1))
    ++plots;
  CHECK(plots == 4);
}

TEST_CASE("an empty report gives a page and empty tables") {
  CHECK(PrintPage({}, "t").ends_with("</body></html>\n"));
  for (const TextTable& table : TablesOf({}))
    CHECK(table.rows.empty());
}

}  // namespace
}  // namespace bilberry::report
