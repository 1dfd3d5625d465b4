#include "LibTransport/stage_job_codec.h"

#include <algorithm>
#include <utility>

#include "LibTransport/json_text.h"

namespace bilberry::transport {

namespace {

constexpr forward::JobFailureKind kFailureKinds[] = {
    forward::JobFailureKind::kTooLate, forward::JobFailureKind::kNoEndpoint,
    forward::JobFailureKind::kInputGone, forward::JobFailureKind::kFailed,
    forward::JobFailureKind::kHostLost};

Json::Value JsonOf(const std::vector<forward::StageResult>& results) {
  Json::Value list(Json::arrayValue);
  for (const forward::StageResult& it : results) {
    Json::Value& pair = list.append(Json::Value(Json::arrayValue));
    pair.append(base::ToText(it.producer));
    pair.append(it.handle);
  }
  return list;
}

std::optional<std::vector<forward::StageResult>> ResultsOf(
    const Json::Value& list) {
  if (!list.isArray())
    return std::nullopt;
  std::vector<forward::StageResult> results;
  for (const Json::Value& pair : list) {
    if (!pair.isArray() || pair.size() != 2 || !pair[0].isString() ||
        !pair[1].isString())
      return std::nullopt;
    const auto producer = base::ParseSocketAddress(pair[0].asString());
    if (!producer)
      return std::nullopt;
    results.push_back({*producer, pair[1].asString()});
  }
  return results;
}

Json::Value JsonOf(base::Duration duration) {
  return static_cast<Json::Int64>(duration.count());
}

bool HasNumbers(const Json::Value& object,
                std::initializer_list<const char*> keys) {
  return std::ranges::all_of(
      keys, [&](const char* key) { return object[key].isInt64(); });
}

}  // namespace

std::string EncodeStageJob(const forward::StageJob& job) {
  Json::Value object;
  object["request"] = job.request_id;
  object["digest"] = job.digest;
  object["pipeline"] = job.pipeline.value;
  object["pool"] = job.pool.value;
  object["cell"] = job.cell.zone.value;
  object["stage"] = job.stage;
  object["pieces"] = job.piece_count;
  if (const auto* key = std::get_if<std::string>(&job.input))
    object["key"] = *key;
  else
    object["inputs"] =
        JsonOf(std::get<std::vector<forward::StageResult>>(job.input));
  object["result_bytes"] = static_cast<Json::UInt64>(job.result_bytes);
  object["urgency"] = static_cast<uint32_t>(job.urgency);
  object["target_us"] = JsonOf(job.until_target);
  object["deadline_us"] = JsonOf(job.until_deadline);
  if (job.until_inputs_expire)
    object["inputs_gone_us"] = JsonOf(*job.until_inputs_expire);
  object["after_us"] = JsonOf(job.time_after);
  object["reader_zone"] = job.reader_zone.value;
  object["crossing_bytes"] = static_cast<Json::UInt64>(job.cross_zone_bytes);
  object["is_new"] = job.progress == forward::RequestProgress::kNew;
  return PrintCompact(object);
}

std::optional<forward::StageJob> DecodeStageJob(std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject())
    return std::nullopt;
  const Json::Value& it = *object;
  if (!HasStringMembers(it, {"request", "pool", "cell", "reader_zone"}) ||
      !HasNumbers(it, {"stage", "pieces", "result_bytes", "urgency",
                       "target_us", "deadline_us", "after_us"}) ||
      !it["is_new"].isBool() || !it["stage"].isUInt() ||
      !it["pieces"].isUInt() || it["pieces"].asUInt() > forward::kMaxPieces ||
      !it["urgency"].isUInt() || !it["result_bytes"].isUInt64() ||
      !it["crossing_bytes"].isUInt64() ||
      (it.isMember("pipeline") && !it["pipeline"].isString()) ||
      (it.isMember("digest") && !it["digest"].isString()) ||
      (it.isMember("inputs_gone_us") && !it["inputs_gone_us"].isInt64()))
    return std::nullopt;
  forward::StageJob job;
  job.request_id = it["request"].asString();
  // Optional: hosts of earlier versions don't send these.
  job.pipeline.value = it["pipeline"].asString();
  job.digest = it["digest"].asString();
  job.pool.value = it["pool"].asString();
  job.cell.zone.value = it["cell"].asString();
  job.stage = it["stage"].asUInt();
  job.piece_count = it["pieces"].asUInt();
  if (it["key"].isString()) {
    job.input = it["key"].asString();
  } else {
    auto inputs = ResultsOf(it["inputs"]);
    if (!inputs)
      return std::nullopt;
    job.input = std::move(*inputs);
  }
  job.result_bytes = it["result_bytes"].asUInt64();
  job.urgency = forward::Urgency{it["urgency"].asUInt()};
  job.until_target = *ParseMicroseconds(it["target_us"]);
  job.until_deadline = *ParseMicroseconds(it["deadline_us"]);
  if (it.isMember("inputs_gone_us"))
    job.until_inputs_expire = *ParseMicroseconds(it["inputs_gone_us"]);
  job.time_after = *ParseMicroseconds(it["after_us"]);
  job.reader_zone.value = it["reader_zone"].asString();
  job.cross_zone_bytes = it["crossing_bytes"].asUInt64();
  job.progress = it["is_new"].asBool() ? forward::RequestProgress::kNew
                                       : forward::RequestProgress::kUnderWay;
  return job;
}

std::string EncodeJobAnswer(const forward::AnswerPeerJob& answer) {
  Json::Value object;
  object["backlog_us"] = JsonOf(answer.backlog);
  if (const auto* done = std::get_if<forward::JobResults>(&answer.outcome)) {
    object["results"] = JsonOf(done->results);
  } else {
    const auto& failure = std::get<forward::JobFailure>(answer.outcome);
    object["failure"] = std::string(forward::ToText(failure.kind));
    object["retry_after_us"] = JsonOf(failure.retry_after);
  }
  return PrintCompact(object);
}

std::optional<forward::PeerJobEnded> DecodeJobAnswer(
    forward::JobRequestId job_request,
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject() || !HasNumbers(*object, {"backlog_us"}))
    return std::nullopt;
  const Json::Value& it = *object;
  const base::Duration backlog = *ParseMicroseconds(it["backlog_us"]);
  if (it.isMember("results")) {
    auto results = ResultsOf(it["results"]);
    if (!results)
      return std::nullopt;
    return forward::PeerJobEnded{
        job_request, forward::JobResults{std::move(*results)}, backlog};
  }
  if (!HasStringMembers(it, {"failure"}) || !HasNumbers(it, {"retry_after_us"}))
    return std::nullopt;
  const std::string name = it["failure"].asString();
  const auto* kind =
      std::ranges::find_if(kFailureKinds, [&name](forward::JobFailureKind k) {
        return forward::ToText(k) == name;
      });
  if (kind == std::end(kFailureKinds))
    return std::nullopt;
  return forward::PeerJobEnded{
      job_request,
      forward::JobFailure{*kind, *ParseMicroseconds(it["retry_after_us"])},
      backlog};
}

std::string EncodeResultsReleased(
    const forward::CellPool& at,
    const std::vector<forward::StageResult>& results) {
  Json::Value object;
  object["pool"] = at.pool.value;
  object["cell"] = at.cell.zone.value;
  object["results"] = JsonOf(results);
  return PrintCompact(object);
}

std::optional<forward::PeerResultsReleased> DecodeResultsReleased(
    std::string_view text) {
  const auto object = ParseJsonValue(text);
  if (!object || !object->isObject() ||
      !HasStringMembers(*object, {"pool", "cell"}))
    return std::nullopt;
  auto results = ResultsOf((*object)["results"]);
  if (!results)
    return std::nullopt;
  forward::PeerResultsReleased read;
  read.at.pool.value = (*object)["pool"].asString();
  read.at.cell.zone.value = (*object)["cell"].asString();
  read.results = std::move(*results);
  return read;
}

}  // namespace bilberry::transport
