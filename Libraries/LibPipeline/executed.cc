#include "LibPipeline/executed.h"

namespace bilberry::pipeline {

std::string_view ToText(Executed executed) {
  switch (executed) {
    case Executed::kNo:
      return "no";
    case Executed::kUnknown:
      return "unknown";
    case Executed::kYes:
      return "yes";
  }
  return "unknown";
}

}  // namespace bilberry::pipeline
