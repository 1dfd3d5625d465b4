#pragma once

#include <string>

namespace bilberry::base {

// Empties the text and frees its buffer. Assigning an empty string would keep
// the buffer: moving from a string that needs none copies it.
inline void ReleaseMemory(std::string& text) {
  std::string().swap(text);
}

}  // namespace bilberry::base
