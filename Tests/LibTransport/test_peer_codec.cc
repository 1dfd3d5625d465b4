#include <doctest/doctest.h>

#include "LibTransport/json_text.h"
#include "LibTransport/peer_codec.h"

namespace bilberry::transport {
namespace {

TEST_SUITE_BEGIN("contract");

TEST_CASE("peer messages are encoded and decoded alike") {
  node::Digest digest;
  digest.host = {"entry-1"};
  digest.incarnation = base::Incarnation{0xffffffffffffffff};
  digest.revision = base::Revision{7};
  digest.leaving = {{"banco-1", base::Incarnation{3}}};
  digest.quarantined = {"0123abcd"};
  digest.suspected = {{"4567cdef", {"banco-2"}}};
  digest.shares = {{{"banco"}, 2, 5}};
  const PeerCall call = EncodePeerMessage(digest);
  const auto decoded = DecodePeerMessage(call.method, call.parameters);
  REQUIRE(decoded);
  CHECK(std::get<node::Digest>(decoded.value()) == digest);
}

TEST_CASE("malformed peer messages are refused") {
  struct Malformed {
    const char* method;
    const char* parameters;
  };
  for (const Malformed& bad : {
           Malformed{"digest", "{}"},
           Malformed{"digest", "[]"},
           Malformed{"digest", "null"},
           Malformed{"digest", R"({"host": "h", "incarnation": -1})"},
           Malformed{"configuration_query", R"({"revision": "1"})"},
           Malformed{"configuration_offer", R"({"revision": 1})"},
           Malformed{"none", "{}"},
       }) {
    CAPTURE(bad.parameters);
    CHECK_FALSE(DecodePeerMessage(bad.method, *ParseCompact(bad.parameters)));
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
