#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "LibBase/log_event.h"

namespace bilberry::base {
namespace {

std::string ReadCatalogue() {
  std::ifstream file(BILBERRY_SOURCE_DIR "/docs/EVENTS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("each event has a unique number and a row in docs/EVENTS.md") {
  const std::string catalogue = ReadCatalogue();
  REQUIRE_FALSE(catalogue.empty());
  std::set<LogEventId> seen;
  for (const LogEventKind& kind : LogEventKinds()) {
    CHECK(seen.insert(kind.id).second);
    const std::string row = "| " + std::to_string(static_cast<int>(kind.id)) +
                            " | " + std::string(kind.name) + " |";
    CAPTURE(row);
    CHECK(catalogue.find(row) != std::string::npos);
  }
}

TEST_CASE("docs/EVENTS.md has no row without an event in the code") {
  std::istringstream lines(ReadCatalogue());
  size_t rows = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("| 1"))
      ++rows;
  }
  CHECK(rows == LogEventKinds().size());
}

}  // namespace
}  // namespace bilberry::base
