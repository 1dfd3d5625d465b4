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

// A book with one request of each kind, sent to entry-1 at second 10.
class Told {
 public:
  Told() {
    for (const auto& [kind, name] : kRequestKinds)
      Send(kind, name, 10 * kSecond);
  }

  void Send(RequestKind kind, const std::string& id, milliseconds at) {
    book.NoteSent({id, kind, "entry-1",
                   kind == RequestKind::kRead ? "GET" : "POST", "/" + id, key,
                   At(at)});
  }

  void Run(const std::string& id, const std::string& endpoint = "desk-1") {
    const bool is_plain = id.starts_with("read") || id.starts_with("book");
    book.NoteRun({id, endpoint, is_plain ? "desk" : "llm",
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

  std::vector<Invariant> Broken() const {
    std::vector<Invariant> broken;
    for (const Violation& it : book.violations())
      broken.push_back(it.invariant);
    return broken;
  }

  std::string key = "key-1";
  InvariantChecker book{{}, {100, 3}};
};

using Promises = std::vector<Invariant>;

}  // namespace

TEST_CASE("a world that keeps its promises breaks none") {
  Told told;
  told.Run("read");
  told.Run("read", "desk-2");
  told.book.NoteAnswer(Told::ReadAnswer());
  told.Run("draft");
  told.book.NoteAnswer(Told::Answer("draft", Told::Events("draft", 0, 3)));
  told.book.NoteAnswer(Told::Refusal("book", 503));
  told.book.NoteAnswer(Told::Refusal("resume", 504));
  CHECK(told.Broken().empty());
  CHECK(told.book.checks(Invariant::kAnswerMatchesRequest) == 4);
  CHECK(told.book.checks(Invariant::kWholeAnswer) == 2);
  CHECK(told.book.checks(Invariant::kRefusalMeansNotRun) == 1);
}

TEST_CASE("an answer of another request is caught") {
  Told told;
  ObservedAnswer answer = Told::ReadAnswer();
  SUBCASE("by its name") {
    answer.named_id = "book";
  }
  SUBCASE("by its body") {
    answer.body = "GET /other by desk-1\n" + std::string(100, 'x');
  }
  SUBCASE("by its first bytes") {
    answer.body = "GET /o";
    answer.end = AnswerEnd::kCut;
  }
  SUBCASE("by bytes of another within") {
    answer.body[50] = 'y';
  }
  SUBCASE("by its mark") {
    answer.is_sealed = false;
  }
  SUBCASE("as no answer in the protocol") {
    answer.end = AnswerEnd::kMalformed;
  }
  told.book.NoteAnswer(answer);
  CHECK(told.Broken() == Promises{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("an event of another request's stream is caught") {
  Told told;
  told.book.NoteAnswer(Told::Answer(
      "draft", Told::Events("draft", 0, 2) + Told::Events("resume", 2, 3)));
  CHECK(told.Broken() == Promises{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("bytes that nobody asked for are caught") {
  Told told;
  told.book.NoteStrayBytes("entry-1", 7, At(12 * kSecond));
  CHECK(told.Broken() == Promises{Invariant::kAnswerMatchesRequest});
}

TEST_CASE("an answer that is cut off and looks complete is caught") {
  Told told;
  SUBCASE("a plain one") {
    ObservedAnswer answer = Told::ReadAnswer();
    answer.body.pop_back();
    told.book.NoteAnswer(answer);
  }
  SUBCASE("a stream between events") {
    told.book.NoteAnswer(Told::Answer("draft", Told::Events("draft", 0, 2)));
  }
  SUBCASE("a stream within an event") {
    std::string events = Told::Events("draft", 0, 3);
    events.pop_back();
    told.book.NoteAnswer(Told::Answer("draft", events));
  }
  CHECK(told.Broken() == Promises{Invariant::kWholeAnswer});
}

TEST_CASE("an answer that is cut off and shows it breaks no promise by that") {
  Told told;
  ObservedAnswer answer = Told::ReadAnswer();
  answer.body.pop_back();
  answer.end = AnswerEnd::kCut;
  told.book.NoteAnswer(answer);
  CHECK(told.Broken().empty());
}

TEST_CASE("events out of order are caught") {
  Told told;
  std::string events;
  SUBCASE("one is missing") {
    events = Told::Events("resume", 0, 1) + Told::Events("resume", 2, 3);
  }
  SUBCASE("one comes twice") {
    events = Told::Events("resume", 0, 2) + Told::Events("resume", 1, 3);
  }
  told.book.NoteAnswer(Told::Answer("resume", events));
  CHECK(told.Broken() == Promises{Invariant::kStreamOrder});
}

TEST_CASE("what nobody sent, or sent otherwise, is caught where it runs") {
  Told told;
  SUBCASE("nobody") {
    told.book.NoteRun({"none", "desk-1", "desk", "GET", "/none", At(kSecond)});
  }
  SUBCASE("another target") {
    told.book.NoteRun({"read", "desk-1", "desk", "GET", "/book", At(kSecond)});
  }
  SUBCASE("another method") {
    told.book.NoteRun({"read", "desk-1", "desk", "POST", "/read", At(kSecond)});
  }
  SUBCASE("another pool") {
    told.book.NoteRun({"read", "llm-1", "llm", "GET", "/read", At(kSecond)});
  }
  CHECK(told.Broken() == Promises{Invariant::kRunMatchesRequest});
}

TEST_CASE("a second run of what may run once is caught") {
  Told told;
  std::string id;
  SUBCASE("a booking") {
    id = "book";
  }
  SUBCASE("a stream that can't be resumed") {
    id = "draft";
  }
  told.Run(id);
  told.Run(id, "desk-2");
  CHECK(told.Broken() == Promises{Invariant::kAtMostOnce});
}

TEST_CASE("a refusal of what runs is caught") {
  Told told;
  int status = 503;
  SUBCASE("503") {}
  SUBCASE("429") {
    status = 429;
  }
  SUBCASE("it runs later") {
    told.book.NoteAnswer(Told::Refusal("book", status));
    told.Run("book");
    CHECK(told.Broken() == Promises{Invariant::kRefusalMeansNotRun});
    return;
  }
  told.Run("book");
  told.book.NoteAnswer(Told::Refusal("book", status));
  CHECK(told.Broken() == Promises{Invariant::kRefusalMeansNotRun});
}

TEST_CASE("a request that is left waiting beyond its time is caught") {
  Told told;
  ObservedAnswer answer = Told::Refusal("read", 504);
  answer.ended = At(milliseconds(13'501));
  Promises expected{Invariant::kAnswered};
  SUBCASE("answered late") {}
  SUBCASE("not answered at all") {
    answer.end = AnswerEnd::kGivenUp;
  }
  SUBCASE("answered at the last moment") {
    answer.ended = At(milliseconds(13'500));
    expected = {};
  }
  SUBCASE("not beside a disturbance") {
    told.book.BeginDisturbance("entry-2");
    expected = {};
  }
  told.book.NoteAnswer(answer);
  CHECK(told.Broken() == expected);
}

TEST_CASE("what planned work cuts off is caught") {
  Told told;
  ObservedAnswer answer = Told::Refusal("read", 0);
  answer.end = AnswerEnd::kNone;
  told.book.BeginPlannedWork("entry-1");
  SUBCASE("a request that was passed on") {
    told.Run("read");
    told.book.NoteAnswer(answer);
    CHECK(told.Broken() == Promises{Invariant::kNoInterruption});
  }
  SUBCASE("not one that crossed the close") {
    told.book.NoteAnswer(answer);
    CHECK(told.Broken().empty());
  }
  SUBCASE("not beside a disturbance") {
    told.book.BeginDisturbance("entry-2");
    told.book.EndDisturbance("entry-2", At(8 * kSecond));
    told.Run("read");
    told.book.NoteAnswer(answer);
    CHECK(told.Broken().empty());
  }
  SUBCASE("but again once the disturbance is over") {
    told.book.BeginDisturbance("entry-2");
    told.book.EndDisturbance("entry-2", At(7 * kSecond));
    told.Run("read");
    told.book.NoteAnswer(answer);
    CHECK(told.Broken() == Promises{Invariant::kNoInterruption});
  }
}

TEST_CASE("a withdrawn key that is served after its time is caught") {
  Told told;
  told.book.NoteKeyWithdrawn("key-old", At(17 * kSecond));
  told.key = "key-old";
  told.Send(RequestKind::kRead, "read-in-time", 18 * kSecond);
  told.Send(RequestKind::kRead, "read-late", 20 * kSecond);
  told.Run("read-in-time");
  CHECK(told.Broken().empty());
  SUBCASE("at a host in touch") {
    told.Run("read-late");
    CHECK(told.Broken() == Promises{Invariant::kWithdrawnKey});
  }
  SUBCASE("not behind a disturbance of the store") {
    told.book.BeginDisturbance(kStorePart);
    told.book.EndDisturbance(kStorePart, At(18 * kSecond));
    told.Run("read-late");
    CHECK(told.Broken().empty());
  }
}

TEST_CASE("a key in force that is refused as unknown is caught") {
  Told told;
  SUBCASE("one that lasts") {
    told.book.NoteAnswer(Told::Refusal("read", 401));
    CHECK(told.Broken() == Promises{Invariant::kKnownKey});
  }
  SUBCASE("a new one after its time") {
    told.book.NoteKeyAdded("key-1", At(7 * kSecond));
    told.book.NoteAnswer(Told::Refusal("read", 401));
    CHECK(told.Broken() == Promises{Invariant::kKnownKey});
  }
  SUBCASE("not a new one before") {
    told.book.NoteKeyAdded("key-1", At(9 * kSecond));
    told.book.NoteAnswer(Told::Refusal("read", 401));
    CHECK(told.Broken().empty());
  }
}

TEST_CASE("what a leaving endpoint gets after its time is caught") {
  Told told;
  SUBCASE("after it") {
    told.book.NoteLeaving("desk-1", At(7 * kSecond));
    told.Run("read");
    CHECK(told.Broken() == Promises{Invariant::kLeavingEndpoint});
  }
  SUBCASE("not before") {
    told.book.NoteLeaving("desk-1", At(9 * kSecond));
    told.Run("read");
    CHECK(told.Broken().empty());
  }
  SUBCASE("not from a host that was disturbed") {
    told.book.NoteLeaving("desk-1", At(7 * kSecond));
    told.book.BeginDisturbance("entry-1");
    told.Run("read");
    CHECK(told.Broken().empty());
  }
}

TEST_CASE("a stop that ends ill or late is caught") {
  Told told;
  SUBCASE("well") {
    told.book.NoteStopped("entry-1", 0, At(kSecond), At(2 * kSecond));
    CHECK(told.Broken().empty());
  }
  SUBCASE("with another exit code") {
    told.book.NoteStopped("entry-1", 9, At(kSecond), At(2 * kSecond));
    CHECK(told.Broken() == Promises{Invariant::kStop});
  }
  SUBCASE("after its grace") {
    told.book.NoteStopped("entry-1", 0, At(kSecond), At(10 * kSecond));
    CHECK(told.Broken() == Promises{Invariant::kStop});
  }
}

TEST_CASE("a process that ends by itself is caught") {
  Told told;
  told.book.NoteEndedByItself("entry-1", "ended", At(kSecond));
  CHECK(told.Broken() == Promises{Invariant::kNoUnexpectedExit});
}

TEST_CASE("a host that doesn't serve each kind again in time is caught") {
  Told told;
  told.book.BeginRecovery({"entry-1"}, At(9 * kSecond));
  told.book.NoteAnswer(Told::ReadAnswer());
  told.book.NoteAnswer(Told::Answer("draft", Told::Events("draft", 0, 3)));
  told.book.NoteAnswer(Told::Answer("resume", Told::Events("resume", 0, 3)));
  SUBCASE("one kind never is") {
    told.book.NoteAnswer(Told::Refusal("book", 503));
    told.book.CheckRecovery(At(21 * kSecond));
    CHECK(told.Broken().empty());
    told.book.CheckRecovery(At(22 * kSecond));
    CHECK(told.Broken() == Promises{Invariant::kRecovery});
  }
  SUBCASE("all are") {
    told.book.NoteAnswer(
        Told::Answer("book", "POST /book by desk-1\n" + std::string(100, 'x')));
    CHECK(told.book.has_recovered());
    told.book.CheckRecovery(At(22 * kSecond));
    CHECK(told.Broken().empty());
    CHECK(told.book.worst(Invariant::kRecovery) == 3 * kSecond);
  }
}

}  // namespace bilberry::soak
