#include <doctest/doctest.h>

#include <string>

#include "platform/stream_row_codec.h"
#include "platform_fixture.h"

// Rows of streams in the store.
namespace bilberry::platform {
namespace {

TEST_SUITE_BEGIN("contract");

TEST_CASE("rows of streams are read as they were written") {
  PlatformFixture fixture;
  const forward::StreamRow first{"a/1 &", {"llm"}, {"v1"}};
  const forward::StreamRow second{"b", {"llm"}, {"v1", "v1.1"}};
  const auto write = [&](const forward::WriteStreamRows& rows) {
    auto request = EncodeStreamWrite(rows);
    request.address = fixture.store.address();
    return DecodeStreamWrite(rows.id, fixture.Ask(std::move(request)));
  };
  const auto read = [&](const forward::ReadStreamRows& rows) {
    auto request = EncodeStreamRead(rows);
    request.address = fixture.store.address();
    const auto event =
        DecodeStreamRead(rows.id, fixture.Ask(std::move(request)));
    return std::get<forward::StreamRowsRead>(event).rows;
  };
  const auto written =
      write({forward::StreamCallId{7}, "p", {first, second}, {}});
  CHECK(std::get<forward::StreamRowsWritten>(written).id ==
        forward::StreamCallId{7});
  const auto found = read({forward::StreamCallId{8}, "p", "a/1 &"});
  CHECK(std::ranges::find(found, first) != found.end());
  CHECK(read({forward::StreamCallId{9}, "p", std::nullopt}).size() == 2);
  write({forward::StreamCallId{10}, "p", {}, {"b"}});
  CHECK(read({forward::StreamCallId{11}, "p", std::nullopt}) ==
        std::vector<forward::StreamRow>{first});
}

TEST_CASE("a failed call for rows of streams is reported, odd rows left out") {
  const transport::HttpResponse refused{503, {}, ""};
  const transport::HttpResponse odd{
      200, {}, R"({"rows":[1,{"key":"a"},{"key":"b","value":"e30="}]})"};
  const forward::StreamCallId id{3};
  CHECK(std::holds_alternative<forward::StreamRowsFailed>(
      DecodeStreamRead(id, refused)));
  CHECK(std::holds_alternative<forward::StreamRowsFailed>(
      DecodeStreamWrite(id, refused)));
  CHECK(std::get<forward::StreamRowsRead>(DecodeStreamRead(id, odd))
            .rows.empty());
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
