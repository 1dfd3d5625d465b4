#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "LibTransport/answer_reader.h"
#include "hasty_server.h"
#include "http_pair.h"
#include "strict_answer.h"

// Forms of an answer, sound ones and broken ones, as bytes of a connection.
namespace bilberry::transport {
namespace {

using namespace std::string_literals;

// Seeds of the drawn answers; more by hand.
uint64_t SeedCount(uint64_t in_ci) {
  const char* seeds = std::getenv("BILBERRY_ANSWER_SEEDS");
  return seeds == nullptr ? in_ci : std::stoull(seeds);
}

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedBody = "4\r\nbody\r\n0\r\n\r\n";
const std::string kUntilClose = "HTTP/1.1 200 OK\r\nName: value\r\n\r\nbody";
const std::string kRest = "Content-Length: 4\r\n\r\nbody";

std::vector<std::string> SoundAnswers() {
  return {
      "HTTP/1.1 200 OK\r\nName: value\r\n" + kRest,
      kUntilClose,
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
      "HTTP/1.0 200 OK\r\n" + kRest,
      "HTTP/1.0 200 OK\r\n\r\nbody",
      "HTTP/1.1 200 \r\n" + kRest,
      "HTTP/1.1 200\r\n" + kRest,
      "HTTP/1.1 200 \t\x80 fine\r\n" + kRest,
      "HTTP/1.1 200 OK\r\nContent-Length: 000000000000000004\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nUpgrade: h2c\r\nConnection: upgrade, , close\r\n" +
          kRest,
      "HTTP/1.1 200 OK\r\nNote: HTTP/1.1 404 Not Found\r\n" + kRest,
      kChunkedHead + kChunkedBody,
      kChunkedHead + "04\r\nbody\r\n000\r\n\r\n",
      kChunkedHead + "1\r\nb\r\n3\r\nody\r\n0\r\n\r\n",
      kChunkedHead + "4;a;b=c ; d=\"e;\\\"f\"\r\nbody\r\n0;g\r\n\r\n",
      kChunkedHead + "4\r\nbody\r\n0\r\nTrailer-Name: value\r\n\r\n",
      "HTTP/1.1 200 OK\r\ntransfer-encoding:\tCHUNKED \r\n\r\n" + kChunkedBody,
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + kRest,
      "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 102\r\n\r\n" + kUntilClose,
  };
}

struct BrokenForm {
  const char* name;
  std::string bytes;
};

std::vector<BrokenForm> BrokenAnswers() {
  const auto status = [](const std::string& line) {
    return line + "\r\n" + kRest;
  };
  const auto chunks = [](const std::string& body) {
    return kChunkedHead + body;
  };
  return {
      {"bytes behind the status", status("HTTP/1.1 200x OK")},
      {"a tab behind the status", status("HTTP/1.1 200\tOK")},
      {"a dot behind the status", status("HTTP/1.1 200.5 OK")},
      {"a status of four digits", status("HTTP/1.1 2000 OK")},
      {"a status of two digits", status("HTTP/1.1 20 OK")},
      {"a negative status", status("HTTP/1.1 -200 OK")},
      {"status 000", status("HTTP/1.1 000 OK")},
      {"status 099", status("HTTP/1.1 099 OK")},
      {"status 600", status("HTTP/1.1 600 OK")},
      {"two blanks before the status", status("HTTP/1.1  200 OK")},
      {"a tab before the status", status("HTTP/1.1\t200 OK")},
      {"no blank before the status", status("HTTP/1.1200 OK")},
      {"HTTP/1.2", status("HTTP/1.2 200 OK")},
      {"HTTP/1.10", status("HTTP/1.10 200 OK")},
      {"HTTP/1", status("HTTP/1 200 OK")},
      {"HTTP/2", status("HTTP/2 200 OK")},
      {"HTTP/2.0", status("HTTP/2.0 200 OK")},
      {"HTTP/0.9", status("HTTP/0.9 200 OK")},
      {"lower case", status("http/1.1 200 OK")},
      {"a NUL in the reason", status("HTTP/1.1 200 O\0K"s)},
      {"a control byte in the reason", status("HTTP/1.1 200 O\x01K")},
      {"a bare CR in the reason", status("HTTP/1.1 200 O\rK")},
      {"DEL in the reason", status("HTTP/1.1 200 O\x7fK")},
      {"a status line that ends with LF", "HTTP/1.1 200 OK\n" + kRest},
      {"an empty line first", "\r\nHTTP/1.1 200 OK\r\n" + kRest},
      {"a switch of protocols", "HTTP/1.1 101 Switching\r\n\r\nbody"},
      {"a status line in the head",
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nHTTP/1.1 200 OK\r\n\r\nbody"},
      {"a field that begins like a status line",
       "HTTP/1.1 200 OK\r\nHTTP/1.1 404: x\r\n" + kRest},
      {"a field that is named like a version",
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nHTTP/: x\r\n\r\nbody"},
      {"a line that ends with LF", "HTTP/1.1 200 OK\r\nName: value\n" + kRest},
      {"a head that ends with LF",
       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody"},
      {"chunks on HTTP/1.0",
       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nbody\r\n0\r\n\r\n"},
      {"a length in an interim head",
       "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n"
       "HTTP/1.1 200 OK\r\n\r\nbody"},
      {"chunks in an interim head",
       "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n"
       "HTTP/1.1 200 OK\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
      {"a spoilt head behind an interim one",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nName : x\r\n" + kRest},
      {"a folded line behind an interim head",
       "HTTP/1.1 100 Continue\r\nName: x\r\n\r\nHTTP/1.1 200 OK\r\n y: z\r\n" +
           kRest},
      {"a spoilt status line behind an interim head",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20 OK\r\n" + kRest},
      {"a spoilt interim head",
       "HTTP/1.1 100 Continue\r\nName : x\r\n\r\nHTTP/1.1 200 OK\r\n" + kRest},
      {"a folded first line", "HTTP/1.1 200 OK\r\n X: a\r\n" + kRest},
      {"a folded last line",
       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 2\r\n\r\nbody"},
      {"junk behind a chunk's size", chunks("4x\r\nbody\r\n0\r\n\r\n")},
      {"a word behind a chunk's size", chunks("4 x\r\nbody\r\n0\r\n\r\n")},
      {"a chunk's size with 0x", chunks("0x4\r\nbody\r\n0\r\n\r\n")},
      {"a last size with 0x", chunks("4\r\nbody\r\n0x0\r\n\r\n")},
      {"junk behind the last size", chunks("4\r\nbody\r\n0 x\r\n\r\n")},
      {"a signed size", chunks("+4\r\nbody\r\n0\r\n\r\n")},
      {"a negative size", chunks("-4\r\nbody\r\n0\r\n\r\n")},
      {"no size", chunks("\r\nbody\r\n0\r\n\r\n")},
      {"a blank before a size", chunks(" 4\r\nbody\r\n0\r\n\r\n")},
      {"a size of 65 bits", chunks("10000000000000004\r\nbody\r\n0\r\n\r\n")},
      {"a size that ends with LF", chunks("4\nbody\r\n0\r\n\r\n")},
      {"a chunk that ends with LF", chunks("4\r\nbody\n0\r\n\r\n")},
      {"a chunk without end", chunks("4\r\nbody0\r\n\r\n")},
      {"a chunk that is too long", chunks("3\r\nbody\r\n0\r\n\r\n")},
      {"a control byte in an extension",
       chunks("4;a=\"\x01\"\r\nbody\r\n0\r\n\r\n")},
      {"an extension without a name", chunks("4;=x\r\nbody\r\n0\r\n\r\n")},
      {"an extension that isn't closed",
       chunks("4;a=\"x\r\nbody\r\n0\r\n\r\n")},
      {"a trailer without a colon",
       chunks("4\r\nbody\r\n0\r\nno colon\r\n\r\n")},
      {"a folded trailer", chunks("4\r\nbody\r\n0\r\nName: x\r\n y\r\n\r\n")},
      {"a folded first trailer", chunks("4\r\nbody\r\n0\r\n Name: x\r\n\r\n")},
      {"a blank in a trailer's name",
       chunks("4\r\nbody\r\n0\r\nNa me: x\r\n\r\n")},
      {"a control byte in a trailer",
       chunks("4\r\nbody\r\n0\r\nName: \x01\r\n\r\n")},
  };
}

HttpOutcome AskOf(HttpPair& pair, const HastyServer& server, bool is_streamed) {
  HttpRequest request = pair.Request();
  request.address = server.address();
  if (!is_streamed)
    return pair.Ask(std::move(request));
  std::optional<HttpOutcome> outcome;
  std::string streamed;
  pair.client->Send(
      std::move(request),
      [&outcome](HttpOutcome it) { outcome = std::move(it); },
      [&streamed](const HttpResponse&, const std::string& it) {
        streamed += it;
      });
  REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
  if (auto* response = std::get_if<HttpResponse>(&*outcome))
    response->body = streamed;
  return std::move(*outcome);
}

void CheckSame(const HttpResponse& read, const HttpResponse& expected) {
  CHECK(read.status == expected.status);
  CHECK(read.headers == expected.headers);
  CHECK(read.body == expected.body);
}

void CheckAgainstGrammar(const HttpResponse& read, const std::string& bytes) {
  const auto expected = ReadStrictly(bytes);
  REQUIRE(expected.has_value());
  CheckSame(read, *expected);
}

std::string DrawAnswer(base::Random& random) {
  const std::vector<std::string> sound = SoundAnswers();
  std::string bytes = sound[random.Below(sound.size())];
  for (uint64_t n = 1 + random.Below(3); n > 0; --n)
    bytes = Mutate(std::move(bytes), random);
  return bytes;
}

// What a reader makes of the bytes, which arrive in parts of drawn sizes.
std::optional<HttpResponse> ReadInParts(std::string_view bytes,
                                        base::Random& random) {
  AnswerReader reader(AnswerBody::kAllowed);
  HttpResponse answer;
  const size_t longest = 1 + random.Below(40);
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, 1 + random.Below(longest));
    bytes.remove_prefix(part.size());
    if (!reader.Read(part))
      return std::nullopt;
    if (reader.has_head())
      answer.body += reader.TakeBody();
  }
  if (!reader.End())
    return std::nullopt;
  answer.status = reader.status();
  answer.headers = reader.headers();
  return answer;
}

TEST_SUITE_BEGIN("answer-forms");

TEST_CASE("sound answers are read as they were sent") {
  HastyServer server("", 0, std::chrono::milliseconds(0), ServerEnd::kClose);
  HttpPair pair([](const IncomingRequest&) {});
  for (const std::string& bytes : SoundAnswers()) {
    const auto expected = ReadStrictly(bytes);
    REQUIRE(expected.has_value());
    CHECK(expected->body == "body");
    server.SetAnswer(bytes);
    for (const bool is_streamed : {false, true}) {
      CAPTURE(bytes);
      CAPTURE(is_streamed);
      const auto outcome = AskOf(pair, server, is_streamed);
      const auto* response = std::get_if<HttpResponse>(&outcome);
      REQUIRE(response != nullptr);
      CheckSame(*response, *expected);
    }
  }
}

// Guards against answers that this program and libcurl read differently
// (MIXED).
TEST_CASE("a broken answer is a failure and is told once") {
  HastyServer server("", 0, std::chrono::milliseconds(0), ServerEnd::kClose);
  HttpPair pair([](const IncomingRequest&) {});
  std::vector<std::string> faults;
  pair.client->SetMalformedHandler(
      [&](const base::SocketAddress& peer, const std::string& fault) {
        CHECK(peer == server.address());
        faults.push_back(fault);
      });
  for (const BrokenForm& form : BrokenAnswers()) {
    CHECK_FALSE(ReadStrictly(form.bytes).has_value());
    server.SetAnswer(form.bytes);
    for (const bool is_streamed : {false, true}) {
      CAPTURE(std::string(form.name));
      CAPTURE(is_streamed);
      faults.clear();
      const auto outcome = AskOf(pair, server, is_streamed);
      const auto* failure = std::get_if<HttpFailure>(&outcome);
      REQUIRE(failure != nullptr);
      CHECK(failure->kind == node::EndpointFailureKind::kBroken);
      REQUIRE(faults.size() == 1);
      CHECK(faults.front() == failure->detail);
      CHECK(faults.front().size() < 500);
    }
  }
}

TEST_CASE("the fault of an answer names the line in printable bytes") {
  AnswerReader reader(AnswerBody::kAllowed);
  CHECK_FALSE(reader.Read("HTTP/1.1 200 OK\r\nFirst: 1\r\nX\x01: " +
                          std::string(1000, 'y') + "\r\n"));
  CHECK(reader.fault().find("line 3 of the head: X\\x01: yyy") !=
        std::string::npos);
  CHECK(reader.fault().size() < 500);
}

// Guards against a malformed line that is noticed only when the head ends.
TEST_CASE("a malformed line fails at once") {
  for (const std::string line : {" X: a", "X : a", "no colon", "X: \x01"}) {
    CAPTURE(line);
    AnswerReader reader(AnswerBody::kAllowed);
    CHECK(reader.Read("HTTP/1.1 200 OK\r\nFirst: 1\r\n"));
    CHECK_FALSE(reader.Read(line + "\r\n"));
  }
}

TEST_CASE("in whatever parts an answer arrives, it is read alike") {
  for (const std::string& bytes : SoundAnswers()) {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
      CAPTURE(bytes);
      CAPTURE(seed);
      base::Random random(seed);
      const auto answer = ReadInParts(bytes, random);
      REQUIRE(answer.has_value());
      CheckAgainstGrammar(*answer, bytes);
    }
  }
}

TEST_CASE("a reader refuses a drawn answer or reads it as the grammar does") {
  uint64_t read = 0;
  const uint64_t seeds = SeedCount(20'000);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    base::Random random(seed);
    const std::string bytes = DrawAnswer(random);
    const auto answer = ReadInParts(bytes, random);
    if (!answer)
      continue;
    CAPTURE(seed);
    CAPTURE(bytes);
    ++read;
    CheckAgainstGrammar(*answer, bytes);
  }
  CHECK(read > seeds / 10);
}

TEST_CASE("a client refuses a drawn answer or reads it as the grammar does") {
  HastyServer server("", 0, std::chrono::milliseconds(0), ServerEnd::kClose);
  HttpPair pair([](const IncomingRequest&) {});
  uint64_t read = 0;
  const uint64_t seeds = SeedCount(3000);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    base::Random random(seed);
    const std::string bytes = DrawAnswer(random);
    server.SetAnswer(bytes);
    const auto outcome = AskOf(pair, server, seed % 2 == 0);
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr)
      continue;
    CAPTURE(seed);
    CAPTURE(bytes);
    ++read;
    CheckAgainstGrammar(*response, bytes);
  }
  CHECK(read > seeds / 10);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
