#include "LibPipeline/run_request.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace bilberry::pipeline {

std::string DigestOf(const RunRequest& request) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  // The zero byte keeps "a" + "bc" and "ab" + "c" apart.
  XXH3_128bits_update(state, request.team.value.c_str(),
                      request.team.value.size() + 1);
  XXH3_128bits_update(state, request.pipeline.value.c_str(),
                      request.pipeline.value.size() + 1);
  XXH3_128bits_update(state, request.body.data(), request.body.size());
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64,
                static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return buf.data();
}

}  // namespace bilberry::pipeline
