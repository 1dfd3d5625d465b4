#pragma once

#include <string>
#include <vector>

#include "LibBase/http_header.h"

namespace bilberry::standins {

// What an endpoint in trouble sends in place of an answer with these headers:
// bytes that are no answer in the protocol, though some readers take them for
// one.
std::vector<std::string> BrokenAnswers(const base::HttpHeaders& headers);

}  // namespace bilberry::standins
