#pragma once

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "LibDeclare/configuration.h"

// Names of enumerators in a configuration, shared by its parser and its
// printer.
namespace bilberry::declare {

template <typename E>
using EnumNames = std::vector<std::pair<std::string_view, E>>;

inline const EnumNames<Rank> kRankNames{{"urgent", Rank::kUrgent},
                                        {"ordinary", Rank::kOrdinary},
                                        {"background", Rank::kBackground}};
inline const EnumNames<PoolKind> kPoolKindNames{
    {"engine", PoolKind::kEngine},
    {"service", PoolKind::kService}};
inline const EnumNames<FencingSupport> kFencingSupportNames{
    {"ignored", FencingSupport::kIgnored},
    {"checked", FencingSupport::kChecked}};
inline const EnumNames<StageKind> kStageKindNames{
    {"encode", StageKind::kEncode},
    {"retrieve", StageKind::kRetrieve},
    {"rerank", StageKind::kRerank},
    {"generate", StageKind::kGenerate},
    {"call", StageKind::kCall}};
inline const EnumNames<Repeatability> kRepeatabilityNames{
    {"repeatable", Repeatability::kRepeatable},
    {"at-most-once", Repeatability::kAtMostOnce}};
inline const EnumNames<Delivery> kDeliveryNames{
    {"whole", Delivery::kWhole},
    {"streamed", Delivery::kStreamed}};

// Returns the name of an enumerator; empty if it has none.
template <typename E>
std::string_view EnumNameOf(const EnumNames<E>& names, E value) {
  const auto it = std::ranges::find(
      names, value, [](const auto& entry) { return entry.second; });
  return it == names.end() ? std::string_view() : it->first;
}

}  // namespace bilberry::declare
