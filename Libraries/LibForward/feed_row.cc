#include "LibForward/feed_row.h"

namespace bilberry::forward {

std::string_view ToText(FeedKind kind) {
  switch (kind) {
    case FeedKind::kConfiguration:
      return "configuration";
    case FeedKind::kEndpoints:
      return "endpoints";
    case FeedKind::kHosts:
      return "hosts";
  }
  return "unknown";
}

}  // namespace bilberry::forward
