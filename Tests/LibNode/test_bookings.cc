#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "Fakes/node_harness.h"
#include "LibBooking/booking_ledger.h"
#include "LibNode/booking_outbox.h"

namespace bilberry::node {
namespace {

using booking::BookingState;
using fakes::NodeHarness;
using fakes::PlatformBehavior;
using fakes::PlatformStore;
using pipeline::Executed;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A node with the small deployment and one peer.
struct BookingNode {
  BookingNode() {
    fakes::PutSmallDeployment(store);
    harness.Feed(TimerDue{});
    harness.TakeOthers();
  }

  static NodeOptions Options() {
    NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.settings.seed_peers = {{"127.0.0.1", 8102}};
    return options;
  }

  booking::BookingRecord RecordOf(const std::string& key) const {
    const auto it = store.rows().find(booking::RowKeyOf({{"t"}, key}));
    REQUIRE(it != store.rows().end());
    return booking::ParseRecord(it->second.value).value();
  }

  // Acknowledges all copies that were sent to the peer; returns how many.
  size_t KeepCopies() {
    size_t count = 0;
    for (const SendToPeer& call : harness.TakePeerCalls()) {
      const auto* copies = std::get_if<BookingCopies>(&call.message);
      if (copies == nullptr)
        continue;
      BookingCopiesAck held;
      for (const booking::Settlement& it : copies->settlements)
        held.claim_tokens.push_back(it.record.claim_token);
      count += held.claim_tokens.size();
      harness.Feed(PeerAnswered{call.operation, held});
    }
    return count;
  }

  void Answer(const SendToEndpoint& sent, int status, const std::string& body) {
    EndpointAnswer answer;
    answer.attempt = sent.attempt;
    answer.echoed_attempt = base::ToText(sent.attempt);
    answer.status = status;
    answer.body = body;
    harness.Feed(answer);
  }

  PlatformStore store;
  NodeHarness harness{store, Options()};
};

bool HasExited(const Actions& actions) {
  return std::ranges::any_of(actions, [](const Action& it) {
    return std::holds_alternative<Exit>(it);
  });
}

TEST_SUITE_BEGIN("promise-1");

TEST_CASE("a booking's late answer is recorded and returned to repeats") {
  BookingNode node;
  node.harness.Call("booking", "k");
  const auto sent = node.harness.TakeSent();
  REQUIRE(sent.size() == 1);
  node.harness.Advance(seconds(3));
  const auto lapsed = node.harness.TakeAnswers();
  REQUIRE(lapsed.size() == 1);
  CHECK(lapsed[0].answer.status == 504);
  CHECK(lapsed[0].answer.executed == Executed::kUnknown);
  const auto repeat = node.harness.Call("booking", "k");
  node.harness.Advance(seconds(1));
  node.Answer(sent[0], 200, "booked");
  node.Answer(sent[0], 200, "doubled");
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].caller == repeat);
  CHECK(answers[0].answer.body == "booked");
  CHECK(node.RecordOf("k").state == BookingState::kDone);
}

TEST_CASE("a late booking attempt is cancelled after a bounded time") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.Advance(seconds(34));
  size_t cancelled = 0;
  for (const Action& it : node.harness.TakeOthers())
    cancelled += std::holds_alternative<CancelAttempt>(it) ? 1 : 0;
  CHECK(cancelled == 1);
  CHECK(node.harness.node().Status().runs == 0);
  node.harness.TakeAnswers();
  node.harness.Call("booking", "k");
  CHECK(node.harness.TakeSent().size() == 1);  // Of the first request.
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kUnknown);
  CHECK(answers[0].answer.error->retry_after);
}

struct StatusCase {
  int status;
  Executed executed;
  BookingState state;
};

TEST_CASE("an endpoint's 4xx is the answer, except for temporary ones") {
  for (const StatusCase& it : {
           StatusCase{400, Executed::kYes, BookingState::kDone},
           StatusCase{409, Executed::kYes, BookingState::kDone},
           StatusCase{422, Executed::kYes, BookingState::kDone},
           StatusCase{408, Executed::kUnknown, BookingState::kClaimed},
           StatusCase{425, Executed::kUnknown, BookingState::kClaimed},
           StatusCase{429, Executed::kUnknown, BookingState::kClaimed},
           StatusCase{500, Executed::kUnknown, BookingState::kClaimed},
       }) {
    CAPTURE(it.status);
    BookingNode node;
    node.harness.Call("booking", "k");
    node.Answer(node.harness.TakeSent().at(0), it.status, "none left");
    const auto answers = node.harness.TakeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer.executed == it.executed);
    CHECK(node.RecordOf("k").state == it.state);
    if (it.state != BookingState::kDone)
      continue;
    CHECK(answers[0].answer.status == it.status);
    CHECK(answers[0].answer.body == "none left");
    node.harness.Call("booking", "k");
    CHECK(node.harness.TakeAnswers().at(0).answer.status == it.status);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-3");

TEST_CASE("a repeat that times out is answered as unknown, not as not run") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.Advance(seconds(1));
  node.harness.Feed(
      CallerRequest{base::CallerId{99}, "booking", "t", {}, "500", "k", "{}"});
  node.harness.Advance(milliseconds(500));
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].caller == base::CallerId{99});
  CHECK(answers[0].answer.executed == Executed::kUnknown);
}

TEST_CASE(
    "a booking is recorded as not_run if its caller leaves before it is sent") {
  BookingNode node;
  node.harness.set_behavior(PlatformBehavior::kHeld);
  const auto caller = node.harness.Call("booking", "k");
  node.harness.Feed(CallerDisconnected{caller});
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.ReleaseHeld();
  CHECK(node.harness.TakeSent().empty());
  CHECK(node.RecordOf("k").state == BookingState::kNotRun);
  node.harness.Call("booking", "k");
  CHECK(node.harness.TakeSent().size() == 1);
}

TEST_CASE("an insert that takes effect after the refusal becomes not_run") {
  BookingNode node;
  node.harness.set_behavior(PlatformBehavior::kEffectLate);
  node.harness.Call("booking", "k");
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kNo);
  CHECK(answers[0].answer.error->retry_after);
  node.harness.ApplyLate();
  CHECK(node.RecordOf("k").state == BookingState::kClaimed);
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.Advance(seconds(1));
  CHECK(node.RecordOf("k").state == BookingState::kNotRun);
  CHECK(node.harness.TakeSent().empty());
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a claim's lost answer is resolved by repeating the insert") {
  for (const PlatformBehavior behavior :
       {PlatformBehavior::kAnswerLost, PlatformBehavior::kRequestLost}) {
    BookingNode node;
    node.harness.set_behavior(PlatformBehavior::kHeld);
    node.harness.Call("booking", "k");
    node.harness.ReleaseHeldAs(behavior);
    CHECK(node.harness.TakeSent().empty());
    node.harness.set_behavior(PlatformBehavior::kHealthy);
    node.harness.ReleaseHeld();
    CHECK(node.harness.TakeSent().size() == 1);
  }
}

TEST_CASE("nothing is sent under a claim whose run has ended") {
  BookingNode node;
  node.harness.set_behavior(PlatformBehavior::kHeld);
  node.harness.Call("booking", "k");
  node.harness.Freeze(node.harness.now() + seconds(60));
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.ReleaseHeld();
  CHECK(node.harness.TakeSent().empty());
  CHECK(node.harness.TakeAnswers().at(0).answer.executed == Executed::kNo);
  CHECK(node.RecordOf("k").state == BookingState::kNotRun);
}

enum class StageEnd { kBroken, kNotRun, kDeadlineExpired, kLapsedThenNotRun };

struct StageCase {
  size_t stage;  // The stages before this one are answered.
  StageEnd end;
  Executed executed;
  BookingState state;
};

TEST_CASE("a booking is not_run only if none of its at-most-once stages ran") {
  constexpr auto kNo = Executed::kNo;
  constexpr auto kYes = Executed::kYes;
  constexpr auto kUnknown = Executed::kUnknown;
  constexpr auto kNotRun = BookingState::kNotRun;
  constexpr auto kClaimed = BookingState::kClaimed;
  const StageCase cases[] = {
      {0, StageEnd::kNotRun, kNo, kNotRun},
      {0, StageEnd::kBroken, kUnknown, kNotRun},
      {0, StageEnd::kDeadlineExpired, kUnknown, kNotRun},
      {1, StageEnd::kNotRun, kYes, kNotRun},
      {1, StageEnd::kBroken, kUnknown, kClaimed},
      {1, StageEnd::kDeadlineExpired, kUnknown, kClaimed},
      {1, StageEnd::kLapsedThenNotRun, kUnknown, kNotRun},
      {2, StageEnd::kNotRun, kYes, kClaimed},
      {2, StageEnd::kLapsedThenNotRun, kUnknown, kClaimed},
      {3, StageEnd::kBroken, kUnknown, kClaimed},
      {3, StageEnd::kDeadlineExpired, kUnknown, kClaimed},
  };
  for (const StageCase& it : cases) {
    CAPTURE(it.stage);
    CAPTURE(static_cast<int>(it.end));
    BookingNode node;
    node.harness.Call("deposit", "k");
    for (size_t i = 0; i < it.stage; ++i)
      node.harness.AnswerAttempt(node.harness.TakeSent().at(0), "{}");
    const auto sent = node.harness.TakeSent();
    REQUIRE(sent.size() == 1);
    if (it.end == StageEnd::kDeadlineExpired ||
        it.end == StageEnd::kLapsedThenNotRun)
      node.harness.Advance(seconds(3));
    EndpointAnswer refusal;
    refusal.attempt = sent[0].attempt;
    refusal.echoed_attempt = base::ToText(sent[0].attempt);
    refusal.status = 503;
    refusal.reported_not_run = true;
    if (it.end == StageEnd::kNotRun || it.end == StageEnd::kLapsedThenNotRun)
      node.harness.Feed(refusal);
    if (it.end == StageEnd::kBroken) {
      EndpointFailure failure;
      failure.attempt = sent[0].attempt;
      node.harness.Feed(failure);
    }
    const auto answers = node.harness.TakeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer.executed == it.executed);
    node.harness.Advance(seconds(1));
    CHECK(node.RecordOf("k").state == it.state);
  }
}

TEST_CASE("copies go to another zone first") {
  BookingNode node;
  for (const char* zone : {"zone-a", "zone-b"}) {
    base::HostEntry entry = fakes::MakeEndpoint(std::string("in-") + zone, "");
    entry.kind = base::HostKind::kEntryHost;
    entry.zone = {zone};
    entry.address = {std::string("host in ") + zone, 8081};
    node.store.PutHost(entry);
  }
  node.harness.Advance(seconds(2));
  node.harness.Call("booking", "k");
  const auto sent = node.harness.TakeSent();
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.harness.TakePeerCalls();
  node.Answer(sent.at(0), 200, "booked");
  node.harness.Advance(milliseconds(1));
  const auto first = node.harness.TakePeerCalls();
  REQUIRE(first.size() == 1);
  CHECK(first[0].address.ip == "host in zone-b");
  node.harness.Feed(PeerFailed{first[0].operation});
  node.harness.Advance(BookingOutbox::kCopyDelay);
  const auto second = node.harness.TakePeerCalls();
  REQUIRE_FALSE(second.empty());
  CHECK(second[0].address.ip == "host in zone-a");
}

TEST_CASE("a large answer is stored as an object and returned to repeats") {
  BookingNode node;
  const std::string large(booking::kMaxInlineAnswerBytes + 1, '\xe9');
  node.harness.Call("booking", "k");
  node.Answer(node.harness.TakeSent().at(0), 200, large);
  CHECK(node.harness.TakeAnswers().at(0).answer.body == large);
  CHECK(node.RecordOf("k").answer.empty());
  NodeHarness other(node.store, fakes::MakeOptions("entry-2", 2));
  other.Feed(TimerDue{});
  other.Call("booking", "k");
  CHECK(other.TakeAnswers().at(0).answer.body == large);
}

TEST_CASE("a caller is answered only once the outcome is durable") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.Answer(node.harness.TakeSent().at(0), 200, "booked");
  CHECK(node.harness.TakeAnswers().empty());
  node.harness.Advance(milliseconds(1));
  REQUIRE(node.KeepCopies() == 1);
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.body == "booked");
  node.harness.Call("booking", "k");
  CHECK(node.harness.TakeAnswers().at(0).answer.body == "booked");
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.Advance(seconds(1));
  CHECK(node.RecordOf("k").answer == "booked");
  CHECK(node.harness.node().Status().unrecorded_bookings == 0);
}

TEST_CASE(
    "without table and peers an executed booking is answered as unknown") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.Answer(node.harness.TakeSent().at(0), 200, "booked");
  node.harness.Advance(seconds(3));
  const auto answers = node.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kUnknown);
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.Advance(seconds(1));
  CHECK(node.RecordOf("k").answer == "booked");
}

TEST_CASE("copies kept for a peer are written once the table is back") {
  BookingNode node;
  booking::Settlement settlement;
  settlement.row_key = booking::RowKeyOf({{"t"}, "k"});
  settlement.record.state = BookingState::kDone;
  settlement.record.claim_token = "token";
  settlement.record.answer = "booked";
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.harness.Feed(
      PeerRequest{base::OperationId{1}, BookingCopies{{settlement}}});
  const auto held = node.harness.TakePeerAnswers();
  REQUIRE(held.size() == 1);
  CHECK(std::get<BookingCopiesAck>(held[0].message).claim_tokens.size() == 1);
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.Advance(seconds(1));
  CHECK(node.RecordOf("k").answer == "booked");
}

TEST_CASE("a repeat beyond the limit of waiting runs is refused") {
  BookingNode node;
  const size_t limit = booking::BookingLedger::kMaxWaitingRuns;
  for (size_t i = 0; i < limit + 1; ++i)
    node.harness.Call("booking", "k");
  CHECK(node.harness.TakeAnswers().empty());
  node.harness.Call("booking", "k");
  const auto refused = node.harness.TakeAnswers();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].answer.error->code == "too_many_repeats");
  CHECK(refused[0].answer.executed == Executed::kUnknown);
  node.harness.AnswerAttempt(node.harness.TakeSent().at(0), "booked");
  CHECK(node.harness.TakeAnswers().size() == limit + 1);
}

TEST_CASE("a full ledger refuses bookings as not run and drops none") {
  BookingNode node;
  const size_t limit = booking::BookingLedger::kMaxBookings;
  node.harness.set_behavior(PlatformBehavior::kHeld);
  for (size_t i = 0; i < limit; ++i)
    node.harness.Call("booking", "k" + std::to_string(i));
  CHECK(node.harness.TakeAnswers().empty());
  node.harness.Call("booking", "one-more");
  const auto refused = node.harness.TakeAnswers();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].answer.error->code == "too_many_bookings");
  CHECK(refused[0].answer.executed == Executed::kNo);
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.ReleaseHeld();
  node.harness.Advance(seconds(2));
  CHECK(node.store.rows().size() >= limit);
}

TEST_CASE("a full outbox refuses new bookings and drops no record") {
  BookingNode node;
  constexpr size_t kAnswerBytes = size_t{1024} * 1024;
  const size_t limit = BookingOutbox::kMaxAnswerBytes / kAnswerBytes;
  for (size_t i = 0; i < limit; ++i) {
    node.harness.set_behavior(PlatformBehavior::kHealthy);
    node.harness.Call("booking", "k" + std::to_string(i));
    node.harness.Advance(milliseconds(30));
    node.harness.set_behavior(PlatformBehavior::kHeld);
    node.Answer(node.harness.TakeSent().at(0), 200,
                std::string(kAnswerBytes, 'a'));
  }
  node.harness.Call("booking", "one-more");
  auto answers = node.harness.TakeAnswers();
  REQUIRE_FALSE(answers.empty());
  CHECK(answers.back().answer.error->code == "too_many_bookings");
  CHECK(node.harness.node().Status().unrecorded_bookings == limit);
  node.harness.set_behavior(PlatformBehavior::kHealthy);
  node.harness.ReleaseHeld();
  node.harness.Advance(seconds(2));
  CHECK(node.harness.node().Status().unrecorded_bookings == 0);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-6");

TEST_CASE("a stop without the table hands over its records and exits") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.Feed(StopRequested{});
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.Answer(node.harness.TakeSent().at(0), 200, "booked");
  node.harness.Advance(milliseconds(1));
  CHECK_FALSE(HasExited(node.harness.TakeOthers()));
  REQUIRE(node.KeepCopies() == 1);
  CHECK(node.harness.TakeAnswers().at(0).answer.body == "booked");
  // The record has been handed over. The host keeps answering so that the load
  // balancer sees the stop, until before the longest deadline of three seconds.
  CHECK_FALSE(HasExited(node.harness.TakeOthers()));
  node.harness.Advance(seconds(2));
  CHECK(HasExited(node.harness.TakeOthers()));
}

TEST_CASE("a stop without table and peers exits at the longest deadline") {
  BookingNode node;
  node.harness.Call("booking", "k");
  node.harness.Feed(StopRequested{});
  node.harness.set_behavior(PlatformBehavior::kUnreachable);
  node.Answer(node.harness.TakeSent().at(0), 200, "booked");
  node.harness.Advance(milliseconds(2999));
  CHECK_FALSE(HasExited(node.harness.TakeOthers()));
  node.harness.Advance(milliseconds(1));
  CHECK(HasExited(node.harness.TakeOthers()));
  CHECK(node.harness.TakeAnswers().size() == 1);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
