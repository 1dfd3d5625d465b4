#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibSoak/invariant_checker.h"

namespace bilberry::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSecond{1000};

base::TimePoint At(milliseconds time) {
  return base::TimePoint(std::chrono::hours(1)) + time;
}

// A checker with one request of each kind, sent to entry-1 at second 10.
class CheckerFixture {
 public:
  CheckerFixture() {
    for (const auto& [kind, name] : kRequestKinds)
      Send(kind, name, 10 * kSecond);
  }

  void Send(RequestKind kind, const std::string& id, milliseconds at) {
    checker.NoteSent({id, kind, "entry-1",
                      kind == RequestKind::kRead ? "GET" : "POST", "/" + id,
                      key, At(at)});
  }

  void Run(const std::string& id, const std::string& endpoint = "desk-1") {
    const bool is_plain = id.starts_with("read") || id.starts_with("book");
    checker.NoteRun({id, endpoint, is_plain ? "desk" : "llm",
                     id.starts_with("read") ? "GET" : "POST", "/" + id,
                     At(11 * kSecond)});
  }

  static std::string Events(const std::string& id, uint32_t from, uint32_t to) {
    std::string text;
    for (uint32_t i = from; i < to; ++i)
      text += "id: " + std::to_string(i) + "\ndata: token " +
              std::to_string(i) + " of /" + id + "\n\n";
    return text;
  }

  static ObservedAnswer Answer(const std::string& id, std::string body) {
    return {id,
            AnswerEnd::kWhole,
            200,
            true,
            id,
            std::move(body),
            At(12 * kSecond)};
  }

  static ObservedAnswer ReadAnswer() {
    return Answer("read", "GET /read by desk-1\n" + std::string(100, 'x'));
  }

  static ObservedAnswer Refusal(const std::string& id, int status) {
    return {id, AnswerEnd::kWhole, status, false, "", "", At(12 * kSecond)};
  }

  std::vector<Invariant> Violated() const {
    std::vector<Invariant> violated;
    for (const Violation& it : checker.violations())
      violated.push_back(it.invariant);
    return violated;
  }

  std::string key = "key-1";
  InvariantChecker checker{{}, {100, 3}};
};

using Invariants = std::vector<Invariant>;

}  // namespace

TEST_CASE("correct behavior violates no invariant") {
  CheckerFixture fixture;
  fixture.Run("read");
  fixture.Run("read", "desk-2");
  fixture.checker.NoteAnswer(CheckerFixture::ReadAnswer());
  fixture.Run("draft");
  fixture.checker.NoteAnswer(
      CheckerFixture::Answer("draft", CheckerFixture::Events("draft", 0, 3)));
  fixture.checker.NoteAnswer(CheckerFixture::Refusal("book", 503));
  fixture.checker.NoteAnswer(CheckerFixture::Refusal("resume", 504));
  CHECK(fixture.Violated().empty());
  CHECK(fixture.checker.checks(Invariant::kAnswerMatchesRequest) == 4);
  CHECK(fixture.checker.checks(Invariant::kWholeAnswer) == 2);
  CHECK(fixture.checker.checks(Invariant::kRefusalMeansNotRun) == 1);
}

TEST_CASE("an answer to another request is detected") {
  CheckerFixture fixture;
  ObservedAnswer answer = CheckerFixture::ReadAnswer();
  SUBCASE("by its request id") {
    answer.named_id = "book";
  }
  SUBCASE("by its body") {
    answer.body = "GET /other by desk-1\n" + std::string(100, 'x');
  }
  SUBCASE("by its first bytes") {
    answer.body = "GET /o";
    answer.end = AnswerEnd::kCut;
  }
  SUBCASE("by foreign bytes in the body") {
    answer.body[50] = 'y';
  }
  SUBCASE("by its missing seal") {
    answer.is_sealed = false;
  }
  SUBCASE("by malformed bytes") {
    answer.end = AnswerEnd::kMalformed;
  }
  fixture.checker.NoteAnswer(answer);
  CHECK(fixture.Violated() == Invariants{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("an event of another request's stream is detected") {
  CheckerFixture fixture;
  fixture.checker.NoteAnswer(CheckerFixture::Answer(
      "draft", CheckerFixture::Events("draft", 0, 2) +
                   CheckerFixture::Events("resume", 2, 3)));
  CHECK(fixture.Violated() == Invariants{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("bytes outside any answer are detected") {
  CheckerFixture fixture;
  fixture.checker.NoteStrayBytes("entry-1", 7, At(12 * kSecond));
  CHECK(fixture.Violated() == Invariants{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("a truncated answer that looks complete is detected") {
  CheckerFixture fixture;
  SUBCASE("a plain one") {
    ObservedAnswer answer = CheckerFixture::ReadAnswer();
    answer.body.pop_back();
    fixture.checker.NoteAnswer(answer);
  }
  SUBCASE("a stream between events") {
    fixture.checker.NoteAnswer(
        CheckerFixture::Answer("draft", CheckerFixture::Events("draft", 0, 2)));
  }
  SUBCASE("a stream within an event") {
    std::string events = CheckerFixture::Events("draft", 0, 3);
    events.pop_back();
    fixture.checker.NoteAnswer(CheckerFixture::Answer("draft", events));
  }
  CHECK(fixture.Violated() == Invariants{Invariant::kWholeAnswer});
}

TEST_CASE(
    "an answer that is visibly truncated violates no invariant by itself") {
  CheckerFixture fixture;
  ObservedAnswer answer = CheckerFixture::ReadAnswer();
  answer.body.pop_back();
  answer.end = AnswerEnd::kCut;
  fixture.checker.NoteAnswer(answer);
  CHECK(fixture.Violated().empty());
}

TEST_CASE("events out of order are detected") {
  CheckerFixture fixture;
  std::string events;
  SUBCASE("one is missing") {
    events = CheckerFixture::Events("resume", 0, 1) +
             CheckerFixture::Events("resume", 2, 3);
  }
  SUBCASE("one is repeated") {
    events = CheckerFixture::Events("resume", 0, 2) +
             CheckerFixture::Events("resume", 1, 3);
  }
  fixture.checker.NoteAnswer(CheckerFixture::Answer("resume", events));
  CHECK(fixture.Violated() == Invariants{Invariant::kStreamOrder});
}

TEST_CASE("a stream joined from two software versions is detected") {
  CheckerFixture fixture;
  std::string events = CheckerFixture::Events("resume", 0, 3);
  const auto set_version = [&events](uint32_t event, const std::string& text) {
    const std::string token = "token " + std::to_string(event);
    events.insert(events.find(token) + token.size(), " at " + text);
  };
  SUBCASE("one version") {
    for (uint32_t i = 0; i < 3; ++i)
      set_version(i, "v1");
    fixture.checker.NoteAnswer(CheckerFixture::Answer("resume", events));
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("two versions") {
    set_version(0, "v1");
    set_version(1, "v1");
    set_version(2, "v2");
    fixture.checker.NoteAnswer(CheckerFixture::Answer("resume", events));
    CHECK(fixture.Violated() == Invariants{Invariant::kOneVersion});
  }
}

TEST_CASE("an execution without a matching request is detected") {
  CheckerFixture fixture;
  SUBCASE("no request") {
    fixture.checker.NoteRun(
        {"none", "desk-1", "desk", "GET", "/none", At(kSecond)});
  }
  SUBCASE("another target") {
    fixture.checker.NoteRun(
        {"read", "desk-1", "desk", "GET", "/book", At(kSecond)});
  }
  SUBCASE("another method") {
    fixture.checker.NoteRun(
        {"read", "desk-1", "desk", "POST", "/read", At(kSecond)});
  }
  SUBCASE("another pool") {
    fixture.checker.NoteRun(
        {"read", "llm-1", "llm", "GET", "/read", At(kSecond)});
  }
  CHECK(fixture.Violated() == Invariants{Invariant::kRunMatchesRequest});
}

TEST_CASE("a second execution of a request that may run once is detected") {
  CheckerFixture fixture;
  std::string id;
  SUBCASE("a booking") {
    id = "book";
  }
  SUBCASE("a stream that can't be resumed") {
    id = "draft";
  }
  fixture.Run(id);
  fixture.Run(id, "desk-2");
  CHECK(fixture.Violated() == Invariants{Invariant::kAtMostOnce});
}

TEST_CASE("a refused request that runs is detected") {
  CheckerFixture fixture;
  int status = 503;
  SUBCASE("503") {}
  SUBCASE("429") {
    status = 429;
  }
  SUBCASE("it runs later") {
    fixture.checker.NoteAnswer(CheckerFixture::Refusal("book", status));
    fixture.Run("book");
    CHECK(fixture.Violated() == Invariants{Invariant::kRefusalMeansNotRun});
    return;
  }
  fixture.Run("book");
  fixture.checker.NoteAnswer(CheckerFixture::Refusal("book", status));
  CHECK(fixture.Violated() == Invariants{Invariant::kRefusalMeansNotRun});
}

TEST_CASE("a request without an answer by its deadline is detected") {
  CheckerFixture fixture;
  ObservedAnswer answer = CheckerFixture::Refusal("read", 504);
  answer.ended = At(milliseconds(13'501));
  Invariants expected{Invariant::kAnswered};
  SUBCASE("answered late") {}
  SUBCASE("not answered at all") {
    answer.end = AnswerEnd::kGivenUp;
  }
  SUBCASE("answered at the last moment") {
    answer.ended = At(milliseconds(13'500));
    expected = {};
  }
  SUBCASE("not beside a disturbance") {
    fixture.checker.BeginDisturbance("entry-2");
    expected = {};
  }
  fixture.checker.NoteAnswer(answer);
  CHECK(fixture.Violated() == expected);
}

TEST_CASE("a request interrupted by planned work is detected") {
  CheckerFixture fixture;
  ObservedAnswer answer = CheckerFixture::Refusal("read", 0);
  answer.end = AnswerEnd::kNone;
  fixture.checker.BeginPlannedWork("entry-1");
  SUBCASE("a request that was passed on") {
    fixture.Run("read");
    fixture.checker.NoteAnswer(answer);
    CHECK(fixture.Violated() == Invariants{Invariant::kNoInterruption});
  }
  SUBCASE("not one that arrived during the close") {
    fixture.checker.NoteAnswer(answer);
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("not beside a disturbance") {
    fixture.checker.BeginDisturbance("entry-2");
    fixture.checker.EndDisturbance("entry-2", At(8 * kSecond));
    fixture.Run("read");
    fixture.checker.NoteAnswer(answer);
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("but again once the disturbance is over") {
    fixture.checker.BeginDisturbance("entry-2");
    fixture.checker.EndDisturbance("entry-2", At(7 * kSecond));
    fixture.Run("read");
    fixture.checker.NoteAnswer(answer);
    CHECK(fixture.Violated() == Invariants{Invariant::kNoInterruption});
  }
}

TEST_CASE("a withdrawn key that is accepted after the bound is detected") {
  CheckerFixture fixture;
  fixture.checker.NoteKeyWithdrawn("key-old", At(17 * kSecond));
  fixture.key = "key-old";
  fixture.Send(RequestKind::kRead, "read-in-time", 18 * kSecond);
  fixture.Send(RequestKind::kRead, "read-late", 20 * kSecond);
  fixture.Run("read-in-time");
  CHECK(fixture.Violated().empty());
  SUBCASE("at an undisturbed host") {
    fixture.Run("read-late");
    CHECK(fixture.Violated() == Invariants{Invariant::kWithdrawnKey});
  }
  SUBCASE("not after a disturbance of the store") {
    fixture.checker.BeginDisturbance(kStorePart);
    fixture.checker.EndDisturbance(kStorePart, At(18 * kSecond));
    fixture.Run("read-late");
    CHECK(fixture.Violated().empty());
  }
}

TEST_CASE("a valid key that is rejected as unknown is detected") {
  CheckerFixture fixture;
  SUBCASE("a permanent one") {
    fixture.checker.NoteAnswer(CheckerFixture::Refusal("read", 401));
    CHECK(fixture.Violated() == Invariants{Invariant::kKnownKey});
  }
  SUBCASE("a new one after the bound") {
    fixture.checker.NoteKeyAdded("key-1", At(7 * kSecond));
    fixture.checker.NoteAnswer(CheckerFixture::Refusal("read", 401));
    CHECK(fixture.Violated() == Invariants{Invariant::kKnownKey});
  }
  SUBCASE("not a new one before the bound") {
    fixture.checker.NoteKeyAdded("key-1", At(9 * kSecond));
    fixture.checker.NoteAnswer(CheckerFixture::Refusal("read", 401));
    CHECK(fixture.Violated().empty());
  }
}

TEST_CASE("a request to a leaving endpoint after the bound is detected") {
  CheckerFixture fixture;
  SUBCASE("after the bound") {
    fixture.checker.NoteLeaving("desk-1", At(7 * kSecond));
    fixture.Run("read");
    CHECK(fixture.Violated() == Invariants{Invariant::kLeavingEndpoint});
  }
  SUBCASE("not before the bound") {
    fixture.checker.NoteLeaving("desk-1", At(9 * kSecond));
    fixture.Run("read");
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("not from a host that was disturbed") {
    fixture.checker.NoteLeaving("desk-1", At(7 * kSecond));
    fixture.checker.BeginDisturbance("entry-1");
    fixture.Run("read");
    CHECK(fixture.Violated().empty());
  }
}

TEST_CASE("a request that crashes endpoints after the bound is detected") {
  CheckerFixture fixture;
  const auto crash = [&](const std::string& id, milliseconds at) {
    fixture.checker.NoteSent({id, RequestKind::kRead, "entry-1", "GET",
                              "/read/deadly-1", "key-1", At(at),
                              milliseconds(3000), true});
    fixture.checker.NoteRun(
        {id, "desk-1", "desk", "GET", "/read/deadly-1", At(at)});
  };
  for (int i = 1; i <= 3; ++i)
    crash("d" + std::to_string(i), 10 * kSecond * i);
  CHECK(fixture.Violated().empty());
  SUBCASE("before all hosts can know") {
    crash("d4", 31 * kSecond);
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("later") {
    crash("d4", 31 * kSecond + milliseconds(1));
    CHECK(fixture.Violated() == Invariants{Invariant::kContained});
  }
  SUBCASE("not when a host was disturbed") {
    fixture.checker.BeginDisturbance("entry-2");
    crash("d4", 40 * kSecond);
    CHECK(fixture.Violated().empty());
  }
}

TEST_CASE("a failed or late stop is detected") {
  CheckerFixture fixture;
  SUBCASE("in time with exit code 0") {
    fixture.checker.NoteStopped("entry-1", 0, At(kSecond), At(2 * kSecond));
    CHECK(fixture.Violated().empty());
  }
  SUBCASE("with another exit code") {
    fixture.checker.NoteStopped("entry-1", 9, At(kSecond), At(2 * kSecond));
    CHECK(fixture.Violated() == Invariants{Invariant::kStop});
  }
  SUBCASE("after its grace period") {
    fixture.checker.NoteStopped("entry-1", 0, At(kSecond), At(10 * kSecond));
    CHECK(fixture.Violated() == Invariants{Invariant::kStop});
  }
}

TEST_CASE("a process that exits on its own is detected") {
  CheckerFixture fixture;
  fixture.checker.NoteUnexpectedExit("entry-1", "ended", At(kSecond));
  CHECK(fixture.Violated() == Invariants{Invariant::kNoUnexpectedExit});
}

TEST_CASE("a host that doesn't serve each kind again in time is detected") {
  CheckerFixture fixture;
  fixture.checker.BeginRecovery({"entry-1"}, At(9 * kSecond));
  fixture.checker.NoteAnswer(CheckerFixture::ReadAnswer());
  fixture.checker.NoteAnswer(
      CheckerFixture::Answer("draft", CheckerFixture::Events("draft", 0, 3)));
  fixture.checker.NoteAnswer(
      CheckerFixture::Answer("resume", CheckerFixture::Events("resume", 0, 3)));
  SUBCASE("one kind is never served") {
    fixture.checker.NoteAnswer(CheckerFixture::Refusal("book", 503));
    fixture.checker.CheckRecovery(At(21 * kSecond));
    CHECK(fixture.Violated().empty());
    fixture.checker.CheckRecovery(At(22 * kSecond));
    CHECK(fixture.Violated() == Invariants{Invariant::kRecovery});
  }
  SUBCASE("all kinds are served") {
    fixture.checker.NoteAnswer(CheckerFixture::Answer(
        "book", "POST /book by desk-1\n" + std::string(100, 'x')));
    CHECK(fixture.checker.has_recovered());
    fixture.checker.CheckRecovery(At(22 * kSecond));
    CHECK(fixture.Violated().empty());
    CHECK(fixture.checker.worst(Invariant::kRecovery) == 3 * kSecond);
  }
}

}  // namespace bilberry::soak
