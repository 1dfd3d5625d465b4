#pragma once

#include <cstdint>
#include <string_view>

namespace bilberry::pipeline {

// Whether any stage of a run has run. kNo is said only when that is sure.
enum class Executed : uint8_t { kNo, kUnknown, kYes };

std::string_view ToText(Executed executed);

}  // namespace bilberry::pipeline
