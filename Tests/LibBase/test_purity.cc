#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace {

namespace fs = std::filesystem;

constexpr std::array<std::string_view, 8> kPureLibraries{
    "LibBase",    "LibDeclare",    "LibPolicy", "LibPipeline",
    "LibBooking", "LibMembership", "LibNode",   "LibForward"};

// Headers that provide sockets, threads, clocks or unseeded randomness.
constexpr std::array<std::string_view, 18> kForbidden{
    "<arpa/",    "<ace/",          "<curl/",    "<microhttpd",
    "<sys/",     "<unistd.h>",     "<netinet/", "<thread>",
    "<mutex>",   "<atomic>",       "<future>",  "<condition_variable",
    "<ctime>",   "<time.h>",       "<csignal>", "<glog/",
    "<fstream>", "\"LibTransport/"};

// Names that use a clock or unseeded randomness without a header of their own.
constexpr std::array<std::string_view, 4> kForbiddenWords{
    "steady_clock", "system_clock", "random_device", "std::rand("};

bool Holds(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

void CheckFile(const fs::path& path) {
  CAPTURE(path.string());
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    CAPTURE(line);
    if (line.starts_with("#include")) {
      for (const std::string_view header : kForbidden)
        CHECK_FALSE(Holds(line, header));
    }
    for (const std::string_view word : kForbiddenWords)
      CHECK_FALSE(Holds(line, word));
  }
}

TEST_CASE("the core uses no socket, thread, clock or unseeded randomness") {
  for (const std::string_view library : kPureLibraries) {
    const fs::path folder =
        fs::path(BILBERRY_SOURCE_DIR) / "Libraries" / library;
    size_t files = 0;
    for (const auto& entry : fs::directory_iterator(folder)) {
      ++files;
      CheckFile(entry.path());
    }
    CHECK(files > 0);
  }
}

}  // namespace
