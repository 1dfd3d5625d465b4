#pragma once

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "LibBase/http_header.h"
#include "LibBase/time.h"
#include "LibSoak/value_names.h"

// What callers and endpoints observe of a request.
namespace bilberry::soak {

enum class RequestKind { kRead, kBook, kDraft, kResume };

inline constexpr std::array kRequestKinds{
    std::pair{RequestKind::kRead, "read"},
    std::pair{RequestKind::kBook, "book"},
    std::pair{RequestKind::kDraft, "draft"},
    std::pair{RequestKind::kResume, "resume"},
};

constexpr bool IsStream(RequestKind kind) {
  return kind == RequestKind::kDraft || kind == RequestKind::kResume;
}

constexpr bool MayRunOnceOnly(RequestKind kind) {
  return kind == RequestKind::kBook || kind == RequestKind::kDraft;
}

// The pool of the kind's pipeline.
constexpr std::string_view PoolOf(RequestKind kind) {
  return IsStream(kind) ? "llm" : "desk";
}

struct SentRequest {
  std::string id;
  RequestKind kind{};
  std::string host;
  std::string method;
  std::string target;
  std::string key;
  base::TimePoint sent;
  std::chrono::milliseconds time_left{3000};
  bool is_deadly = false;  // Whether endpoints crash while they run it.
};

// How an answer ended on the connection.
enum class AnswerEnd {
  kWhole,      // Complete by its framing.
  kCut,        // Truncated, which the framing shows.
  kNone,       // The connection was closed before any answer.
  kMalformed,  // Not a valid HTTP answer.
  kGivenUp,    // The caller stopped waiting.
};

inline constexpr std::array kAnswerEnds{
    std::pair{AnswerEnd::kWhole, "whole"},
    std::pair{AnswerEnd::kCut, "cut"},
    std::pair{AnswerEnd::kNone, "closed"},
    std::pair{AnswerEnd::kMalformed, "malformed"},
    std::pair{AnswerEnd::kGivenUp, "given up"},
};

constexpr std::string_view ToText(AnswerEnd end) {
  return NameIn(kAnswerEnds, end);
}

constexpr std::string_view ToText(RequestKind kind) {
  return NameIn(kRequestKinds, kind);
}

struct ObservedAnswer {
  std::string request;
  AnswerEnd end = AnswerEnd::kWhole;
  int status = 0;
  bool is_sealed = false;  // Whether the answer carries an endpoint's seal.
  std::string named_id;    // The request id that the answer names.
  std::string body;
  base::TimePoint ended;
};

struct ObservedRun {
  std::string request;
  std::string endpoint;
  std::string pool;
  std::string method;
  std::string target;
  base::TimePoint at;
};

}  // namespace bilberry::soak
