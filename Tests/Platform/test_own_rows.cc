#include <json/value.h>

#include <string>

#include "LibTransport/json_text.h"
#include "platform/row_codec.h"
#include "platform/store_codec.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// A host's own row in the store, and the fence beside it.
namespace bilberry::platform {
namespace {

using std::chrono::milliseconds;
using transport::HttpResponse;

forward::WriteOwnRow Write(uint64_t version, bool is_listed) {
  return {{{"entry-1"}, {"127.0.0.1", 80}, {"z1"}, 1, 0},
          {version, base::Incarnation{7}, is_listed}};
}

Json::Value Encoded(const forward::WriteOwnRow& write) {
  return transport::ParseJsonValue(EncodeOwnRowWrite(write).body).value();
}

std::string ConflictWith(const std::string& value) {
  return R"({"ver":90,"rows":[{"table":"bilberry-fences","part":"",)"
         R"("key":"entry-1","ver":31,"value":")" +
         ToBase64(value) + R"("}]})";
}

forward::OwnRowFence FenceIn(const std::string& body) {
  return std::get<forward::OwnRowConflict>(
             DecodeOwnRowWrite(HttpResponse{412, {}, body}))
      .fence;
}

TEST_SUITE_BEGIN("contract");

// Guards against calls that are performed late, whatever happened meanwhile.
TEST_CASE("each write of a host's row names the fence that it replaces") {
  for (const bool is_listed : {true, false}) {
    const Json::Value body = Encoded(Write(12, is_listed));
    REQUIRE(body["expectedRev"].size() == 1);
    CHECK(body["expectedRev"][0]["table"] == wire::kFenceTable);
    CHECK(body["expectedRev"][0]["key"] == "entry-1");
    CHECK(body["expectedRev"][0]["ver"].asUInt64() == 12);
    CHECK(body["writes"][0]["table"] == wire::kFenceTable);
    CHECK(body["writes"].size() == (is_listed ? 2 : 1));
    CHECK(body["remove"].size() == (is_listed ? 0 : 1));
    const Json::Value& row = is_listed ? body["writes"][1] : body["remove"][0];
    CHECK(row["table"] == wire::kHostTable);
    CHECK(row["key"] == "entry-1");
  }
}

TEST_CASE("a conflict tells the fence that the store holds") {
  const auto fence = FenceIn(ConflictWith(R"({"boot":7,"is_listed":true})"));
  CHECK(fence == forward::OwnRowFence{31, base::Incarnation{7}, true});
  CHECK(FenceIn(R"({"ver":9,"rows":[]})") == forward::OwnRowFence{});
  CHECK(FenceIn(ConflictWith("x")) ==
        forward::OwnRowFence{31, base::Incarnation{0}, false});
  CHECK(FenceIn(ConflictWith(R"({"boot":-7,"is_listed":1})")).version == 31);
}

TEST_CASE("an answer without a fence leaves open whether a row was written") {
  for (const char* text :
       {"", "[]", R"({"rows":1})", R"({"rows":[1]})", R"({"rows":[{}]})"}) {
    CAPTURE(text);
    const auto event = DecodeOwnRowWrite(HttpResponse{412, {}, text});
    CHECK(std::holds_alternative<forward::OwnRowFailed>(event));
  }
  const auto written =
      DecodeOwnRowWrite(HttpResponse{200, {}, R"({"ver":31})"});
  CHECK(std::get<forward::OwnRowWritten>(written).version == 31);
}

// Guards against a host that others don't know after its planned restart,
// because the store performed the removal of its row late.
TEST_CASE("a late removal leaves a restarted host in the table") {
  constexpr milliseconds kDelay{1500};
  PlatformFixture fixture(2);
  const auto has_row = [&fixture] {
    return fixture.store.Has(wire::kHostTable, "entry-2");
  };
  REQUIRE(fixture.RunUntil(has_row));
  fixture.store.PerformLate(kDelay, milliseconds(100));
  fixture.shells[1]->RequestStop();
  fixture.RunFor(milliseconds(300));
  fixture.shells[1].reset();
  fixture.AddHost("entry-2");
  fixture.RunFor(kDelay + milliseconds(500));
  CHECK(has_row());
}

// Guards against a removal that ends before the store has heard of it.
TEST_CASE("a stopping host repeats a removal that wasn't answered") {
  PlatformFixture fixture(2);
  const auto has_row = [&fixture] {
    return fixture.store.Has(wire::kHostTable, "entry-2");
  };
  REQUIRE(fixture.RunUntil(has_row));
  fixture.store.PerformLate(std::chrono::hours(1), milliseconds(100));
  fixture.shells[1]->RequestStop();
  CHECK(fixture.RunUntil([&] { return !has_row(); }));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
