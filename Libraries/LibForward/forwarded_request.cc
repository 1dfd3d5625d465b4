#include "LibForward/forwarded_request.h"

#include "LibBase/content_digest.h"

namespace bilberry::forward {

std::string DigestOf(const std::optional<base::TeamName>& team,
                     const ForwardedRequest& request) {
  const std::string_view team_name = team ? team->value : std::string_view();
  const std::string_view body =
      request.body ? *request.body : std::string_view();
  return base::DigestOf(
      {team_name, request.method, request.host, request.target, body});
}

}  // namespace bilberry::forward
