#include "LibBase/content_digest.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace bilberry::base {

std::string DigestOf(std::initializer_list<std::string_view> parts) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  for (const std::string_view& part : parts) {
    XXH3_128bits_update(state, part.data(), part.size());
    // The zero byte keeps "a" + "bc" and "ab" + "c" apart.
    if (&part != parts.end() - 1)
      XXH3_128bits_update(state, "", 1);
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64,
                static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return buf.data();
}

}  // namespace bilberry::base
