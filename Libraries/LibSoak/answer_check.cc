#include "LibSoak/answer_check.h"

#include <cstdlib>
#include <string_view>

namespace bilberry::soak {

namespace {

using MaybeFault = std::optional<AnswerFault>;

constexpr std::string_view kEventEnd = "\n\n";
// Before the software version in an event, and behind it.
constexpr std::string_view kVersionBegin = " at ";
constexpr std::string_view kVersionEnd = " of ";
constexpr int kSuccess = 200;

MaybeFault CheckPlain(const SentRequest& request,
                      const ObservedAnswer& answer,
                      const AnswerShape& shape) {
  const std::string begin = request.method + " " + request.target + " by ";
  const std::string_view body = answer.body;
  const size_t line_end = body.find('\n');
  const std::string_view line = body.substr(0, line_end);
  const std::string_view named = body.substr(0, begin.size());
  if (!begin.starts_with(named))
    return AnswerFault{Invariant::kAnswerMatchesRequest,
                       "body: " + std::string(line)};
  if (answer.end != AnswerEnd::kWhole)
    return std::nullopt;
  const bool is_whole = line_end != std::string_view::npos &&
                        body.size() - line_end - 1 == shape.padding;
  if (!is_whole)
    return AnswerFault{Invariant::kWholeAnswer,
                       std::to_string(body.size()) + " bytes look complete"};
  if (body.find_first_not_of('x', line_end + 1) != std::string_view::npos)
    return AnswerFault{Invariant::kAnswerMatchesRequest,
                       "other bytes in the body"};
  return std::nullopt;
}

MaybeFault CheckEvent(const SentRequest& request,
                      std::string_view event,
                      uint32_t number) {
  const std::string digits = std::to_string(number);
  if (!event.starts_with("id: " + digits + "\n"))
    return AnswerFault{Invariant::kStreamOrder,
                       "in place of event " + digits + ": " +
                           std::string(event.substr(0, event.find('\n')))};
  if (!event.ends_with(" of " + request.target))
    return AnswerFault{Invariant::kAnswerMatchesRequest,
                       "event: " + std::string(event)};
  return std::nullopt;
}

std::string_view VersionOf(std::string_view event) {
  const size_t begin = event.find(kVersionBegin);
  if (begin == std::string_view::npos)
    return {};
  event.remove_prefix(begin + kVersionBegin.size());
  return event.substr(0, event.find(kVersionEnd));
}

MaybeFault CheckStream(const SentRequest& request,
                       const ObservedAnswer& answer,
                       const AnswerShape& shape) {
  std::string_view rest = answer.body;
  uint32_t number = 0;
  const std::string_view version =
      VersionOf(rest.substr(0, rest.find(kEventEnd)));
  for (size_t end = rest.find(kEventEnd); end != std::string_view::npos;
       end = rest.find(kEventEnd)) {
    const std::string_view event = rest.substr(0, end);
    if (MaybeFault broken = CheckEvent(request, event, number))
      return broken;
    if (VersionOf(event) != version)
      return AnswerFault{Invariant::kOneVersion,
                         "event " + std::to_string(number) + " is from " +
                             std::string(VersionOf(event)) + ", not " +
                             std::string(version)};
    rest.remove_prefix(end + kEventEnd.size());
    ++number;
  }
  const bool is_whole = number == shape.events && rest.empty();
  if (answer.end == AnswerEnd::kWhole && !is_whole)
    return AnswerFault{Invariant::kWholeAnswer,
                       std::to_string(number) + " events look complete"};
  return std::nullopt;
}

}  // namespace

std::optional<AnswerFault> CheckAnswer(const SentRequest& request,
                                       const ObservedAnswer& answer,
                                       const AnswerShape& shape) {
  if (answer.end == AnswerEnd::kMalformed)
    return AnswerFault{Invariant::kAnswerMatchesRequest, "malformed answer"};
  if (!answer.named_id.empty() && answer.named_id != request.id)
    return AnswerFault{Invariant::kAnswerMatchesRequest,
                       "it names " + answer.named_id};
  if (answer.status != kSuccess)
    return std::nullopt;
  if (!answer.is_sealed)
    return AnswerFault{Invariant::kAnswerMatchesRequest,
                       "a success without a seal"};
  return IsStream(request.kind) ? CheckStream(request, answer, shape)
                                : CheckPlain(request, answer, shape);
}

}  // namespace bilberry::soak
