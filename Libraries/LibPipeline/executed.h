#pragma once

#include <cstdint>
#include <string_view>

namespace bilberry::pipeline {

// Whether any stage of a run has executed. kNo is reported only when that is
// certain.
enum class Executed : uint8_t { kNo, kUnknown, kYes };

std::string_view ToText(Executed executed);

}  // namespace bilberry::pipeline
