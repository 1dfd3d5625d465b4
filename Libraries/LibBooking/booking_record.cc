#include "LibBooking/booking_record.h"

#include <json/value.h>
#include <json/writer.h>

#include <array>
#include <optional>
#include <utility>

#include "LibBooking/byte_text.h"
#include "LibDeclare/json_document.h"

namespace bilberry::booking {

namespace {

constexpr std::array kStateNames{
    std::pair{BookingState::kClaimed, "claimed"},
    std::pair{BookingState::kNotRun, "not_run"},
    std::pair{BookingState::kDone, "done"},
};

const char* NameOf(BookingState state) {
  for (const auto& [value, name] : kStateNames) {
    if (value == state)
      return name;
  }
  return "";
}

std::optional<BookingState> StateOf(const std::string& text) {
  for (const auto& [value, name] : kStateNames) {
    if (text == name)
      return value;
  }
  return std::nullopt;
}

}  // namespace

std::string RowKeyOf(const BookingKey& key) {
  // Declared team names contain no slash, so row keys are unambiguous.
  return std::string(kRowPrefix) + key.team.value + "/" + key.key;
}

std::string SerializeRecord(const BookingRecord& record) {
  Json::Value value;
  value["state"] = NameOf(record.state);
  value["digest"] = record.digest;
  value["claim_token"] = record.claim_token;
  value["claimer"] = record.claimer.value;
  value["claimer_incarnation"] =
      static_cast<Json::UInt64>(record.claimer_incarnation);
  value["claimer_ip"] = record.claimer_address.ip;
  value["claimer_port"] = record.claimer_address.port;
  value["status"] = record.status;
  value["answer"] = BytesToText(record.answer);
  value["answer_object"] = record.answer_object;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  // Escapes would take six bytes for one byte of a large answer.
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

base::Result<BookingRecord> ParseRecord(std::string_view text) {
  const base::Error malformed{base::ErrorCode::kMalformed, base::Step::kClaim,
                              "", "a booking's row can't be read"};
  declare::Faults faults;
  const auto document = declare::ParseJson(text, faults);
  if (!document || !document->root.isObject())
    return malformed;
  const Json::Value& root = document->root;
  for (const char* key : {"state", "digest", "claim_token", "claimer",
                          "claimer_ip", "answer", "answer_object"}) {
    if (!root[key].isString())
      return malformed;
  }
  if (!root["claimer_incarnation"].isUInt64() ||
      !root["claimer_port"].isUInt() || !root["status"].isInt())
    return malformed;
  const auto state = StateOf(root["state"].asString());
  if (!state)
    return malformed;
  BookingRecord record;
  record.state = *state;
  record.digest = root["digest"].asString();
  record.claim_token = root["claim_token"].asString();
  record.claimer = {root["claimer"].asString()};
  record.claimer_incarnation =
      base::Incarnation{root["claimer_incarnation"].asUInt64()};
  record.claimer_address = {
      root["claimer_ip"].asString(),
      static_cast<uint16_t>(root["claimer_port"].asUInt())};
  record.status = root["status"].asInt();
  auto answer = TextToBytes(root["answer"].asString());
  if (!answer)
    return malformed;
  record.answer = std::move(*answer);
  record.answer_object = root["answer_object"].asString();
  return record;
}

}  // namespace bilberry::booking
