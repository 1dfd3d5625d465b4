#include "LibNode/request_checker.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace bilberry::node {

namespace {

constexpr size_t kMaxKeyLength = 255;

BadRequest MakeBadRequest(int status, std::string code, std::string message) {
  return {status,
          {std::move(code), base::Step::kAdmission, "", std::move(message),
           std::nullopt}};
}

std::optional<declare::Rank> RankOf(std::string_view text) {
  for (const declare::Rank rank : declare::kRanks) {
    if (text == ToText(rank))
      return rank;
  }
  return std::nullopt;
}

std::optional<std::chrono::milliseconds> MillisecondsOf(
    const std::string& text) {
  uint32_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, count);
  if (ec != std::errc() || rest != end || count == 0)
    return std::nullopt;
  return std::chrono::milliseconds(count);
}

// Printable ASCII without a slash, which separates the parts of a row key.
bool IsUsableKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::ranges::all_of(
             key, [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

}  // namespace

std::variant<pipeline::RunRequest, BadRequest> CheckRequest(
    const CallerRequest& request,
    const declare::Configuration& configuration) {
  const auto* pipeline = configuration.FindPipeline({request.pipeline});
  if (pipeline == nullptr)
    return MakeBadRequest(404, "unknown_pipeline",
                          "there is no pipeline \"" + request.pipeline + "\"");
  if (!request.team)
    return MakeBadRequest(400, "team_missing", "Bilberry-Team is missing");
  const auto* team = configuration.FindTeam({*request.team});
  if (team == nullptr)
    return MakeBadRequest(
        403, "unknown_team",
        "Bilberry-Team: there is no team \"" + *request.team + "\"");

  pipeline::RunRequest run;
  run.pipeline = pipeline->name;
  run.team = team->name;
  run.team_weight = team->weight;
  run.rank = pipeline->rank;
  run.budget = pipeline->deadline;
  if (request.rank) {
    const auto rank = RankOf(*request.rank);
    if (!rank)
      return MakeBadRequest(
          400, "bad_rank",
          "Bilberry-Rank must be urgent, ordinary or background");
    // Later enumerators are less important ranks; a caller may lower its rank
    // but not raise it.
    run.rank = std::max(run.rank, *rank);
  }
  if (request.deadline_ms) {
    const auto deadline = MillisecondsOf(*request.deadline_ms);
    if (!deadline)
      return MakeBadRequest(
          400, "bad_deadline",
          "Bilberry-Deadline-Ms must be a whole number above 0");
    run.budget = std::min<base::Duration>(run.budget, *deadline);
  }
  if (request.idempotency_key && !IsUsableKey(*request.idempotency_key))
    return MakeBadRequest(
        400, "bad_idempotency_key",
        "Idempotency-Key must be 1 to 255 printable characters without "
        "a space or a slash");
  if (pipeline->IsAtMostOnce() && !request.idempotency_key)
    return MakeBadRequest(
        400, "idempotency_key_missing",
        "Idempotency-Key is missing; a stage of this pipeline may not "
        "be repeated");
  run.idempotency_key = request.idempotency_key;
  run.body = request.body;
  return run;
}

}  // namespace bilberry::node
