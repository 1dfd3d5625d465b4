#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "LibOperator/request_history.h"

namespace bilberry::operators {
namespace {

constexpr const char* kAskingHost = R"(
{"unix_ms":1000,"at_us":1,"event":1301,"name":"platform-unreachable","severity":"warning","feed":"hosts"}
{"unix_ms":2500,"at_us":1,"event":1603,"name":"stage-ended","severity":"info","request":"r1","pool":"makers","outcome":"too_late","retry_ms":"700"}
{"unix_ms":2501,"at_us":1,"event":1602,"name":"request-ended","severity":"info","request":"r1","outcome":"too_late","first_ms":""}
{"unix_ms":2502,"at_us":1,"event":1602,"name":"request-ended","severity":"info","request":"r2","outcome":"answered 200"}
not a line of ours
{"unix_ms":9000,"at_us":1,"event":1311,"name":"dispatcher-lost","severity":"warning","host":"b"}
)";

constexpr const char* kDispatcher = R"(
12.5 host-b {"unix_ms":2000,"at_us":9,"event":1605,"name":"stage-call-ended","severity":"info","requests":"r0 r1 r7","pool":"makers","pieces":"3"}
12.9 host-b {"unix_ms":2400,"at_us":9,"event":1606,"name":"job-refused","severity":"info","request":"r1","waiting_pieces":"400"}
12.9 host-b {"unix_ms":2400,"at_us":9,"event":1605,"name":"stage-call-ended","severity":"info","requests":"r10","pool":"makers"}
)";

std::string HistoryOf(const std::string& id) {
  RequestHistory history(id);
  std::istringstream first(kAskingHost);
  history.Read(first, "a.log");
  std::istringstream second(kDispatcher);
  history.Read(second, "b.log");
  return history.Print();
}

TEST_CASE("records of a request from several hosts are merged") {
  CHECK(HistoryOf("r1") ==
        "request r1\n"
        "  +0.000 s  host-b  stage-call-ended  pieces=3  pool=makers\n"
        "  +0.400 s  host-b  job-refused  waiting_pieces=400\n"
        "  +0.500 s  a.log  stage-ended  outcome=too_late  pool=makers  "
        "retry_ms=700\n"
        "  +0.501 s  a.log  request-ended  outcome=too_late\n"
        "what these hosts warned of meanwhile:\n"
        "  -1.000 s  a.log  platform-unreachable  feed=hosts\n");
}

std::string NoticeLine(int64_t unix_ms,
                       const std::string& name,
                       const std::string& fields) {
  return R"({"unix_ms":)" + std::to_string(unix_ms) +
         R"(,"event":1,"severity":"info","name":")" + name + R"(",)" + fields +
         "}\n";
}

// Endpoints that a host avoided explain why it refused a request or sent it
// elsewhere.
TEST_CASE(
    "the history shows the endpoints that its hosts avoided at the time") {
  RequestHistory history("r1");
  std::istringstream log(
      kAskingHost + NoticeLine(400, "endpoint-leaving", R"("endpoint":"e1")") +
      NoticeLine(900, "endpoint-quiet", R"("endpoint":"e2","for_ms":"1500")") +
      NoticeLine(1000, "endpoint-quiet", R"("endpoint":"e3","for_ms":"1600")") +
      NoticeLine(2600, "endpoint-quiet", R"("endpoint":"e4","for_ms":"90")") +
      NoticeLine(2500, "endpoint-quiet", R"("endpoint":"e5","for_ms":"x")"));
  history.Read(log, "a.log");
  std::istringstream other(
      NoticeLine(2400, "endpoint-leaving", R"("endpoint":"e6")"));
  history.Read(other, "b.log");
  CHECK(history.Print() ==
        "request r1\n"
        "  +0.000 s  a.log  stage-ended  outcome=too_late  pool=makers  "
        "retry_ms=700\n"
        "  +0.001 s  a.log  request-ended  outcome=too_late\n"
        "what endpoints had said of themselves to these hosts:\n"
        "  -2.100 s  a.log  endpoint-leaving  endpoint=e1\n"
        "  -1.500 s  a.log  endpoint-quiet  endpoint=e3  for_ms=1600\n"
        "  +0.000 s  a.log  endpoint-quiet  endpoint=e5  for_ms=x\n"
        "what these hosts warned of meanwhile:\n"
        "  -1.500 s  a.log  platform-unreachable  feed=hosts\n");
}

TEST_CASE(
    "the history shows the limit that delayed the request, and its owner") {
  RequestHistory history("r1");
  std::istringstream log(
      kAskingHost +
      NoticeLine(400, "endpoint-limit",
                 R"("endpoint":"e1","per_second":"0.5","told_by":"peer")") +
      NoticeLine(2500, "permit-ended",
                 R"("endpoint":"e1","keeper":"b","outcome":"none_in_time",)"
                 R"("request":"r1")"));
  history.Read(log, "a.log");
  const std::string text = history.Print();
  CHECK(text.find("permit-ended  endpoint=e1  keeper=b  "
                  "outcome=none_in_time") != std::string::npos);
  CHECK(text.find("endpoint-limit  endpoint=e1  per_second=0.5  "
                  "told_by=peer") != std::string::npos);
}

TEST_CASE("the history shows the endpoints that were cold at the time") {
  RequestHistory history("r1");
  std::istringstream log(
      kAskingHost +
      NoticeLine(900, "endpoint-cold", R"("endpoint":"e1","for_ms":"1500")") +
      NoticeLine(1000, "endpoint-cold", R"("endpoint":"e2","for_ms":"3000")"));
  history.Read(log, "a.log");
  const std::string text = history.Print();
  CHECK(text.find("endpoint=e1") == std::string::npos);
  CHECK(text.find("endpoint-cold  endpoint=e2  for_ms=3000") !=
        std::string::npos);
}

TEST_CASE("the history shows the endpoints that crashed under the request") {
  RequestHistory history("r1");
  std::istringstream log(
      kAskingHost +
      NoticeLine(2600, "request-refused",
                 R"("request":"r1","reason":"quarantined","digest":"d1")"));
  history.Read(log, "a.log");
  std::istringstream other(
      NoticeLine(900, "endpoint-crashed",
                 R"("endpoint":"e1","digests":"d0 d1")") +
      NoticeLine(950, "endpoint-crashed", R"("endpoint":"e2","digests":"d0")") +
      NoticeLine(990, "request-quarantined", R"("digest":"d1")"));
  history.Read(other, "b.log");
  const std::string text = history.Print();
  CHECK(text.find("endpoint-crashed  digests=d0 d1  endpoint=e1") !=
        std::string::npos);
  CHECK(text.find("endpoint=e2") == std::string::npos);
  CHECK(text.find("request-quarantined  digest=d1") != std::string::npos);
}

TEST_CASE("lines of other programs are skipped") {
  RequestHistory history("r1");
  std::istringstream log(
      R"({"unix_ms":1,"name":"n","severity":"info","request":{"id":"r1"}}
{"unix_ms":1,"name":"n","severity":"info","requests":["r1"]}
{"unix_ms":"1","name":"n","severity":"info","request":"r1"}
[1] {)");
  history.Read(log, "other.log");
  CHECK(history.is_empty());
}

TEST_CASE("a request without records has an empty history") {
  RequestHistory history("r");
  std::istringstream log(kAskingHost);
  history.Read(log, "a.log");
  CHECK(history.is_empty());
  CHECK(history.Print() == "request r\n");
}

}  // namespace
}  // namespace bilberry::operators
