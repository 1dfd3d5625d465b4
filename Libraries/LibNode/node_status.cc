#include "LibNode/node_status.h"

namespace bilberry::node {

std::string_view ToText(Readiness readiness) {
  switch (readiness) {
    case Readiness::kReady:
      return "ready";
    case Readiness::kNoConfiguration:
      return "no-configuration";
    case Readiness::kNoEndpoints:
      return "no-endpoints";
    case Readiness::kStopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace bilberry::node
