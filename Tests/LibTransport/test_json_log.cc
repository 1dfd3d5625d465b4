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

TEST_CASE("each line is one object with its event and its facts") {
  const Pipe pipe;
  JsonLog log(pipe.ends[1]);
  log.Add(kLine, base::TimePoint(std::chrono::microseconds(17)));
  log.Flush();
  const auto object = ParseCompact(pipe.ReadAll());
  REQUIRE(object.has_value());
  CHECK((*object)["event"].asInt() == 1602);
  CHECK((*object)["name"].asString() == "request-ended");
  CHECK((*object)["request"].asString() == "r1");
  CHECK((*object)["outcome"].asString() == "answered \"200\"");
  CHECK((*object)["at_us"].asInt() == 17);
}

// A blocked write would stop the host: the test would not end.
TEST_CASE("a reader that stops costs lines, which are counted") {
  const Pipe pipe;
  JsonLog log(pipe.ends[1]);
  for (int i = 0; i < 10'000; ++i) {
    log.Add(kLine, base::TimePoint());
    log.Flush();
  }
  CHECK(log.left_out() > 0);
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    log.Flush();
  }
  log.Add(kLine, base::TimePoint());
  log.Flush();
  text += pipe.ReadAll();
  std::istringstream lines(text);
  size_t n = 0;
  std::string last;
  for (std::string line; std::getline(lines, line); last = line) {
    CHECK(ParseCompact(line).has_value());
    ++n;
  }
  // What was written and what was left out are all there was.
  CHECK(n + log.left_out() == 10'001);
  CHECK((*ParseCompact(last))["lines_left_out"].asUInt64() == log.left_out());
}

}  // namespace
}  // namespace bilberry::transport
