#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// Checks that the platform's wire names are used in platform/ only.
namespace {

namespace fs = std::filesystem;

constexpr const char* kWireNames[] = {
    "Attempt-Id",       "Server-Seal",   "Not-Executed",  "Expect-Instance",
    "Request-Urgency",  "Prompt-Prefix", "Token-Counts",  "Piece-Key",
    "Deadline-Ms\"",    "rows-tx",       "rows-feed",     "rows-get",
    "stage-run",        "stage-free",    "/v1/ready\"",   "pathPrefix",
    "targetLatencyMs",  "apiKeys",       "itemMs",        "roomMb",
    "expectedRev",      "BILBERRYLEVER", "internalPorts", "\"draining\"",
    "\"non_idempotent", "Pin-Ms",        "Kv-From",       "Instance-Id",
    "Server-Load",      "gapAimMs",      "Store-Era",     "\"Resumes"};

std::string TextOf(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("no code outside platform/ uses the platform's wire names") {
  size_t files = 0;
  for (const char* folder : {"Libraries", "Services", "Utilities"}) {
    for (const auto& entry : fs::recursive_directory_iterator(
             fs::path(BILBERRY_SOURCE_DIR) / folder)) {
      if (!entry.is_regular_file())
        continue;
      ++files;
      const std::string text = TextOf(entry.path());
      CAPTURE(entry.path().string());
      for (const char* name : kWireNames) {
        // This project's own headers contain some of the names after
        // "Bilberry-".
        size_t at = text.find(name);
        while (at != std::string::npos && at >= 9 &&
               text.compare(at - 9, 9, "Bilberry-") == 0)
          at = text.find(name, at + 1);
        CAPTURE(name);
        CHECK(at == std::string::npos);
      }
    }
  }
  CHECK(files > 100);
}

// The packages that the daemon's build needs must be among those that CI
// installs.
TEST_CASE("the deploy file's packages are in Meta/packages.txt") {
  const std::string list =
      "\n" + TextOf(fs::path(BILBERRY_SOURCE_DIR) / "Meta/packages.txt");
  std::ifstream deploy(fs::path(BILBERRY_SOURCE_DIR) / "deploy/system.toml");
  size_t packages = 0;
  for (std::string line; std::getline(deploy, line);) {
    if (!line.starts_with("  \""))
      continue;
    const std::string name = line.substr(3, line.find('"', 3) - 3);
    CAPTURE(name);
    CHECK(list.find("\n" + name + "\n") != std::string::npos);
    ++packages;
  }
  CHECK(packages > 5);
}

}  // namespace
