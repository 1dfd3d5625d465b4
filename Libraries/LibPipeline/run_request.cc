#include "LibPipeline/run_request.h"

#include "LibBase/content_digest.h"

namespace bilberry::pipeline {

std::string DigestOf(const RunRequest& request) {
  return base::DigestOf(
      {request.team.value, request.pipeline.value, request.body});
}

}  // namespace bilberry::pipeline
