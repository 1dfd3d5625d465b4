#include <doctest/doctest.h>

#include "LibTransport/json_text.h"
#include "LibTransport/peer_codec.h"

namespace bilberry::transport {
namespace {

TEST_SUITE_BEGIN("contract");

TEST_CASE("a digest survives encoding and decoding") {
  node::GossipDigest digest;
  digest.host = {"entry-1"};
  digest.incarnation = base::Incarnation{0xffffffffffffffff};
  digest.revision = base::Revision{7};
  digest.leaving = {{"banco-1", base::Incarnation{3}}};
  digest.quarantined = {"0123abcd"};
  digest.suspected = {{"4567cdef", {"banco-2"}}};
  digest.pool_loads = {{{"banco"}, 2, 5}};
  const PeerCall call = EncodePeerMessage(digest);
  const auto decoded = DecodePeerMessage(call.method, call.parameters);
  REQUIRE(decoded);
  CHECK(std::get<node::GossipDigest>(decoded.value()) == digest);
}

TEST_CASE("booking messages keep every byte of an answer") {
  std::string bytes;
  for (int i = 0; i < 256; ++i)
    bytes.push_back(static_cast<char>(i));
  booking::Settlement settlement;
  settlement.row_key = "booking/t/k";
  settlement.record.state = booking::BookingState::kDone;
  settlement.record.claim_token = "token";
  settlement.record.status = 201;
  settlement.record.answer = bytes;
  settlement.expected = base::RowVersion{0xffffffffffffffff};
  const node::PeerMessage messages[] = {
      node::BookingQuery{"token"},
      node::BookingReply{node::BookingStatus::kDone, 409, bytes},
      node::BookingCopies{{settlement}},
      node::BookingCopiesAck{{"token"}},
  };
  for (const node::PeerMessage& message : messages) {
    const PeerCall call = EncodePeerMessage(message);
    CAPTURE(call.method);
    const auto wire = ParseJsonValue(PrintCompact(call.parameters));
    const auto decoded = DecodePeerMessage(call.method, *wire);
    REQUIRE(decoded);
    CHECK(EncodePeerMessage(decoded.value()).parameters == call.parameters);
    if (const auto* copies = std::get_if<node::BookingCopies>(&decoded.value()))
      CHECK(copies->settlements.at(0) == settlement);
  }
}

TEST_CASE("a configuration offer keeps the sender's host list") {
  base::HostEntry entry;
  entry.name = "banco-1";
  entry.pool.value = "banco";
  entry.zone.value = "zona-a";
  entry.address = {"10.0.0.7", 80};
  entry.incarnation = base::Incarnation{0xffffffffffffffff};
  const node::PeerMessage messages[] = {
      node::ConfigurationQuery{base::Revision{7}, true},
      node::ConfigurationOffer{
          base::Revision{8}, "{}",
          node::HostsOffer{{entry}, std::chrono::seconds(3)}},
      node::ConfigurationOffer{base::Revision{8}, "{}", std::nullopt},
  };
  for (const node::PeerMessage& message : messages) {
    const PeerCall call = EncodePeerMessage(message);
    CAPTURE(call.method);
    const auto wire = ParseJsonValue(PrintCompact(call.parameters));
    const auto decoded = DecodePeerMessage(call.method, *wire);
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
  }
}

TEST_CASE("malformed peer messages are rejected") {
  struct Malformed {
    const char* method;
    const char* parameters;
  };
  for (const Malformed& bad : {
           Malformed{"digest", "{}"},
           Malformed{"digest", "[]"},
           Malformed{"digest", "null"},
           Malformed{"digest",
                     R"({"v": 1, "host": "h", "incarnation": -1,
                         "revision": 1})"},
           Malformed{"digest",
                     R"({"v": 2, "host": "h", "incarnation": 1,
                         "revision": 1})"},
           Malformed{"digest",
                     R"({"v": 1, "host": "h", "incarnation": 1, "revision": 1,
                         "leaving": [["e", -1]]})"},
           Malformed{"digest",
                     R"({"v": 1, "host": "h", "incarnation": 1, "revision": 1,
                         "shares": [["p", 1]]})"},
           Malformed{"digest",
                     R"({"v": 1, "host": "h", "incarnation": 1, "revision": 1,
                         "quarantined": "r"})"},
           Malformed{"configuration_query", R"({"revision": "1"})"},
           Malformed{"configuration_query",
                     R"({"revision": 1, "wants_hosts": {}})"},
           Malformed{"configuration_offer", R"({"revision": 1})"},
           Malformed{"configuration_offer",
                     R"({"revision": 1, "document": "", "hosts": [{}],
                         "hosts_age_us": 1})"},
           Malformed{"booking_query", "{}"},
           Malformed{"booking_reply",
                     R"({"standing": "x", "status": 1, "answer": ""})"},
           Malformed{"booking_reply",
                     R"({"standing": "done", "status": 1, "answer": "Ā"})"},
           Malformed{"booking_copies", R"({"settlements": 1})"},
           Malformed{"booking_copies", R"({"settlements": [{}]})"},
           Malformed{"booking_copies",
                     R"({"settlements": [{"row_key": "configuration/head",
                        "record": "{}", "expected": 1}]})"},
           Malformed{"booking_copies_held", R"({"claim_tokens": [1]})"},
           Malformed{"none", "{}"},
       }) {
    CAPTURE(bad.parameters);
    CHECK_FALSE(DecodePeerMessage(bad.method, *ParseJsonValue(bad.parameters)));
  }
}

TEST_CASE("a digest with too long a list or name is rejected") {
  node::GossipDigest digest;
  digest.leaving.resize(257);
  PeerCall call = EncodePeerMessage(digest);
  CHECK_FALSE(DecodePeerMessage(call.method, call.parameters));
  digest.leaving.resize(256);
  call = EncodePeerMessage(digest);
  CHECK(DecodePeerMessage(call.method, call.parameters));
  digest.leaving[0].name = std::string(257, 'e');
  call = EncodePeerMessage(digest);
  CHECK_FALSE(DecodePeerMessage(call.method, call.parameters));
  digest.leaving.clear();
  digest.host.value = std::string(257, 'h');
  call = EncodePeerMessage(digest);
  CHECK_FALSE(DecodePeerMessage(call.method, call.parameters));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
