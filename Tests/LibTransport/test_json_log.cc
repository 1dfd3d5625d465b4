#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

#include "LibTransport/json_log.h"
#include "LibTransport/json_text.h"

namespace bilberry::transport {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string ReadAll() const {
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t n = read(ends[0], buffer.data(), buffer.size()); n > 0;
         n = read(ends[0], buffer.data(), buffer.size()))
      text.append(buffer.data(), static_cast<size_t>(n));
    return text;
  }

  std::array<int, 2> ends{};
};

const forward::WriteLog kLine{base::LogEventId::kRequestEnded,
                              "r1",
                              {{"outcome", "answered \"200\""}}};

TEST_CASE("each line is one JSON object with the event and its facts") {
  const Pipe pipe;
  JsonLog log(pipe.ends[1]);
  log.Add(kLine, base::TimePoint(std::chrono::microseconds(17)));
  log.Flush();
  const auto object = ParseJsonValue(pipe.ReadAll());
  REQUIRE(object.has_value());
  CHECK((*object)["event"].asInt() == 1602);
  CHECK((*object)["name"].asString() == "request-ended");
  CHECK((*object)["request"].asString() == "r1");
  CHECK((*object)["outcome"].asString() == "answered \"200\"");
  CHECK((*object)["at_us"].asInt() == 17);
}

// A write that blocks would stop the host; here the test would hang.
TEST_CASE("lines are dropped and counted when the reader stops") {
  const Pipe pipe;
  JsonLog log(pipe.ends[1]);
  for (int i = 0; i < 10'000; ++i) {
    log.Add(kLine, base::TimePoint());
    log.Flush();
  }
  CHECK(log.dropped_count() > 0);
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    log.Flush();
  }
  // After a second, the log reports the dropped lines before the next line.
  log.Add(kLine, base::TimePoint(std::chrono::seconds(1)));
  log.Flush();
  text += pipe.ReadAll();
  std::istringstream lines(text);
  size_t n = 0;
  std::string told;
  for (std::string line; std::getline(lines, line);) {
    const auto object = ParseJsonValue(line);
    REQUIRE(object.has_value());
    if ((*object)["name"].asString() == "lines-left-out")
      told = (*object)["lines"].asString();
    else
      ++n;
  }
  // Written and dropped lines add up to all lines.
  CHECK(n + log.dropped_count() == 10'001);
  CHECK(told == std::to_string(log.dropped_count()));
}

TEST_CASE("routine lines are rate-limited, warnings are not") {
  const Pipe pipe;
  JsonLog log(pipe.ends[1]);
  const forward::WriteLog warning{
      base::LogEventId::kAttemptFailed, "r1", {{"reason", "broken"}}};
  std::string text;
  for (int i = 0; i < 5000; ++i) {
    log.Add(kLine, base::TimePoint(std::chrono::microseconds(i)));
    if (i % 100 == 0)
      log.Add(warning, base::TimePoint(std::chrono::microseconds(i)));
    log.Flush();
    text += pipe.ReadAll();
  }
  size_t warnings = 0;
  size_t routine = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);)
    ++(line.find("attempt-failed") != std::string::npos ? warnings : routine);
  CHECK(warnings == 50);
  CHECK(routine < 1000);
  CHECK(routine + log.dropped_count() == 5000);
  CHECK(log.dropped_by_event().at("request-ended") == log.dropped_count());
}

}  // namespace
}  // namespace bilberry::transport
