#pragma once

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "LibDeclare/configuration.h"

// The words that stand for enumerators in a configuration, for its parser and
// its printer alike.
namespace bilberry::declare {

template <typename E>
using Words = std::vector<std::pair<std::string_view, E>>;

inline const Words<Rank> kRankWords{{"urgent", Rank::kUrgent},
                                    {"ordinary", Rank::kOrdinary},
                                    {"background", Rank::kBackground}};
inline const Words<PoolKind> kPoolKindWords{{"engine", PoolKind::kEngine},
                                            {"service", PoolKind::kService}};
inline const Words<FencingSupport> kFencingSupportWords{
    {"ignored", FencingSupport::kIgnored},
    {"checked", FencingSupport::kChecked}};
inline const Words<StageKind> kStageKindWords{
    {"encode", StageKind::kEncode},
    {"retrieve", StageKind::kRetrieve},
    {"rerank", StageKind::kRerank},
    {"generate", StageKind::kGenerate},
    {"call", StageKind::kCall}};
inline const Words<Repeatability> kRepeatabilityWords{
    {"repeatable", Repeatability::kRepeatable},
    {"at-most-once", Repeatability::kAtMostOnce}};
inline const Words<Delivery> kDeliveryWords{{"whole", Delivery::kWhole},
                                            {"streamed", Delivery::kStreamed}};

// Empty when the enumerator has no word.
template <typename E>
std::string_view WordOf(const Words<E>& words, E value) {
  const auto it = std::ranges::find(
      words, value, [](const auto& word) { return word.second; });
  return it == words.end() ? std::string_view() : it->first;
}

}  // namespace bilberry::declare
