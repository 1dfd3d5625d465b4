#include <doctest/doctest.h>

#include "LibMembership/active_configuration.h"
#include "LibMembership/configuration_head.h"

namespace bilberry::membership {
namespace {

using base::Revision;

constexpr const char* kDocument = R"({
  "deployment": "d", "zones": ["a"],
  "ranks": {
    "urgent": {"minimum_share_percent": 50, "attainment_target_percent": 99},
    "ordinary": {"minimum_share_percent": 20, "attainment_target_percent": 99},
    "background": {"minimum_share_percent": 5, "attainment_target_percent": 90}
  },
  "pools": [], "pipelines": [], "teams": []
})";

TEST_CASE("a head survives serializing and parsing") {
  const ConfigurationHead head{Revision{3}, "configuration/3-x", "x"};
  const auto read = ParseHead(SerializeHead(head));
  REQUIRE(read);
  CHECK(read.value() == head);
  CHECK_FALSE(ParseHead(R"({"revision": -1})"));
}

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("the revision in force never decreases") {
  ActiveConfiguration keeper;
  CHECK(std::holds_alternative<Adopted>(keeper.Offer(Revision{2}, kDocument)));
  CHECK(std::holds_alternative<AlreadyKnown>(
      keeper.Offer(Revision{2}, kDocument)));
  CHECK(std::holds_alternative<LowerRevision>(
      keeper.Offer(Revision{1}, kDocument)));
  CHECK(keeper.revision() == Revision{2});
  CHECK(std::holds_alternative<Adopted>(keeper.Offer(Revision{5}, kDocument)));
  CHECK(keeper.revision() == Revision{5});
}

TEST_CASE("a malformed document does not replace the one in force") {
  ActiveConfiguration keeper;
  keeper.Offer(Revision{1}, kDocument);
  CHECK(std::holds_alternative<MalformedDocument>(
      keeper.Offer(Revision{2}, "{")));
  CHECK(keeper.revision() == Revision{1});
  CHECK(keeper.configuration() != nullptr);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::membership
