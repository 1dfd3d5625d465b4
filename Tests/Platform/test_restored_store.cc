#include <optional>
#include <string>

#include "platform/store_codec.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// A store that comes back from an older copy of its data.
namespace bilberry::platform {
namespace {

using transport::HttpResponse;

constexpr const char* kPage = R"({"ver":7,"nowMs":1,"rows":[]})";

std::optional<uint64_t> EraOfList(const std::string& header) {
  const HttpResponse response{200, {{wire::kStoreEra, header}}, kPage};
  return std::get<forward::TableListed>(
             DecodeListResponse(forward::FeedKind::kHosts, response))
      .era;
}

// The small configuration with another path prefix in place of the first one.
std::string SmallConfigurationWith(uint64_t revision,
                                   const std::string& from,
                                   const std::string& to) {
  std::string text = standins::SmallConfiguration(revision);
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_SUITE_BEGIN("contract");

TEST_CASE("each answer of the store states its era") {
  const HttpResponse page{200, {{wire::kStoreEra, "12"}}, kPage};
  const HttpResponse gone{410, {{wire::kStoreEra, "13"}}, ""};
  const auto changed = DecodeFollowResponse(forward::FeedKind::kHosts, page);
  CHECK(std::get<forward::TableChanged>(changed).era == 12);
  const auto lost = DecodeFollowResponse(forward::FeedKind::kHosts, gone);
  CHECK(std::get<forward::TableHistoryLost>(lost).era == 13);
  CHECK(std::get<forward::OwnRowWritten>(DecodeOwnRowWrite(page)).era == 12);
  CHECK(EraOfList("0") == 0);
  CHECK(EraOfList("18446744073709551615") == UINT64_MAX);
}

TEST_CASE("a malformed era counts as none") {
  for (const char* text :
       {"", " ", "x", "-1", "1.5", "0x1", "1 2", "18446744073709551616"}) {
    CAPTURE(text);
    CHECK_FALSE(EraOfList(text).has_value());
  }
  const HttpResponse page{200, {}, kPage};
  CHECK_FALSE(std::get<forward::TableListed>(
                  DecodeListResponse(forward::FeedKind::kHosts, page))
                  .era.has_value());
}

// Guards against hosts that go on with versions which the store assigns again.
TEST_CASE("hosts follow a store that comes back from an older copy") {
  PlatformFixture fixture(2);
  const auto status_of = [&fixture](size_t host, const std::string& target) {
    return fixture.Answer(fixture.Request("GET", target, host)).status;
  };
  const auto copy = fixture.store.TakeCopy();
  std::string next = SmallConfigurationWith(9, "/read/", "/seen/");
  fixture.store.Put(wire::kConfigurationTable, wire::kConfigurationKey, next);
  REQUIRE(fixture.RunUntil([&] { return status_of(0, "/seen/x") == 200; }));
  fixture.store.Restore(copy);
  // Others write meanwhile, until versions have passed those known to hosts.
  for (int i = 0; i < 50; ++i)
    fixture.store.Put("elsewhere", std::to_string(i), "x");
  next = SmallConfigurationWith(12, "/read/", "/late/");
  fixture.store.Put(wire::kConfigurationTable, wire::kConfigurationKey, next);
  for (int i = 0; i < 50; ++i)
    fixture.store.Put("elsewhere", std::to_string(i), "y");
  for (const size_t host : {0, 1}) {
    CAPTURE(host);
    CHECK(fixture.RunUntil([&] { return status_of(host, "/late/x") == 200; }));
  }
}

TEST_CASE("a host writes its row again when the store has lost it") {
  PlatformFixture fixture(1);
  const auto has_row = [&fixture] {
    return fixture.store.Has(wire::kHostTable, "entry-2");
  };
  const auto copy = fixture.store.TakeCopy();
  fixture.AddHost("entry-2");
  REQUIRE(fixture.RunUntil(has_row));
  fixture.WaitUntilReady();
  fixture.store.Restore(copy);
  REQUIRE_FALSE(has_row());
  CHECK(fixture.RunUntil(has_row));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
