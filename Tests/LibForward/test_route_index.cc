#include <doctest/doctest.h>

#include <string>

#include "LibBase/random.h"
#include "LibForward/route_index.h"

namespace bilberry::forward {
namespace {

ForwardedPipeline Pipeline(const std::string& host, const std::string& prefix) {
  ForwardedPipeline pipeline;
  pipeline.name.value = host + prefix;
  pipeline.host = host;
  pipeline.path_prefix = prefix;
  return pipeline;
}

RouteIndex IndexOf(ForwardConfiguration configuration) {
  return RouteIndex(
      std::make_shared<const ForwardConfiguration>(std::move(configuration)));
}

TEST_CASE("the longest prefix of the request's host decides") {
  ForwardConfiguration configuration;
  configuration.pipelines = {Pipeline("a", "/"), Pipeline("a", "/x/"),
                             Pipeline("a", "/x/y/"), Pipeline("b", "/x/")};
  const RouteIndex index = IndexOf(configuration);
  CHECK(index.FindPipeline("a", "/x/y/z")->path_prefix == "/x/y/");
  CHECK(index.FindPipeline("a", "/x/y")->path_prefix == "/x/");
  CHECK(index.FindPipeline("a", "/x")->path_prefix == "/");
  CHECK(index.FindPipeline("b", "/x/y/z")->host == "b");
  CHECK(index.FindPipeline("b", "/y/") == nullptr);
  CHECK(index.FindPipeline("c", "/x/") == nullptr);
  CHECK(index.FindPipeline("a", "") == nullptr);
}

TEST_CASE("of two equal routes, or two teams with one key, the first counts") {
  ForwardConfiguration configuration;
  configuration.pipelines = {Pipeline("a", "/x/"), Pipeline("a", "/x/")};
  configuration.pipelines[1].name.value = "second";
  configuration.teams = {{{"first"}, {"k1", "k2"}, {}},
                         {{"second"}, {"k2", "k3"}, {}}};
  const RouteIndex index = IndexOf(configuration);
  CHECK(index.FindPipeline("a", "/x/")->name.value == "a/x/");
  CHECK(index.FindTeamOfKey("k2")->name.value == "first");
  CHECK(index.FindTeamOfKey("k3")->name.value == "second");
  CHECK(index.FindTeamOfKey("k4") == nullptr);
}

TEST_CASE("an index finds what a search through all routes finds") {
  base::Random random(1);
  const auto draw_path = [&random] {
    std::string path = "/";
    for (uint64_t n = random.Below(4); n > 0; --n)
      path += std::string(1, static_cast<char>('a' + random.Below(3))) + "/";
    return path;
  };
  ForwardConfiguration configuration;
  for (int i = 0; i < 40; ++i)
    configuration.pipelines.push_back(
        Pipeline("h" + std::to_string(random.Below(3)), draw_path()));
  const RouteIndex index = IndexOf(configuration);
  for (int i = 0; i < 2000; ++i) {
    const std::string host = "h" + std::to_string(random.Below(4));
    const std::string path = draw_path() + (i % 2 == 0 ? "leaf" : "");
    const ForwardedPipeline* longest = nullptr;
    for (const ForwardedPipeline& it : configuration.pipelines) {
      if (it.host == host && path.starts_with(it.path_prefix) &&
          (longest == nullptr ||
           it.path_prefix.size() > longest->path_prefix.size()))
        longest = &it;
    }
    const ForwardedPipeline* found = index.FindPipeline(host, path);
    REQUIRE((found == nullptr) == (longest == nullptr));
    if (found != nullptr)
      REQUIRE(found->name.value == longest->name.value);
  }
}

}  // namespace
}  // namespace bilberry::forward
