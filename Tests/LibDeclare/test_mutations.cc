#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "LibBase/random.h"
#include "LibDeclare/configuration_parser.h"
#include "LibDeclare/host_settings.h"

namespace bilberry::declare {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kRounds = 2000;
constexpr int kMaxChanges = 8;

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(BILBERRY_SOURCE_DIR "/Examples/") + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Replaces, erases and duplicates some characters.
std::string Mutate(std::string text, base::Random& random) {
  const uint64_t changes = 1 + random.Below(kMaxChanges);
  for (uint64_t i = 0; i < changes; ++i) {
    const size_t at = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, 1 + random.Below(16));
        break;
      case 2:
        text.insert(at, text.substr(random.Below(text.size()), 16));
        break;
      default:
        text[at] = "{}[]\",:0-9"[random.Below(10)];
    }
    if (text.empty())
      return "{";
  }
  return text;
}

bool HaveReasons(const Faults& faults) {
  for (const Fault& fault : faults) {
    if (fault.reason.empty() || fault.line < 0)
      return false;
  }
  return true;
}

TEST_CASE("damaged documents are rejected with reasons and never crash") {
  base::Random random(kSeed);
  const std::string configuration = ReadExample("valbruna/configuration.json");
  const std::string settings = ReadExample("valbruna/host.json");
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    const auto parsed = ParseConfiguration(Mutate(configuration, random));
    CHECK(HaveReasons(parsed.faults));
    CHECK(HaveReasons(ParseHostSettings(Mutate(settings, random)).faults));
    refused += parsed.faults.empty() ? 0 : 1;
  }
  // A change inside a comment or a number can leave a valid document.
  CHECK(refused > kRounds / 2);
}

}  // namespace
}  // namespace bilberry::declare
