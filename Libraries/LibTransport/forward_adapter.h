#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "LibForward/forward_action.h"
#include "LibForward/forward_event.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"

namespace bilberry::transport {

// Translates between the forwarding node's types and the wire format of a
// platform. An adapter has no logic of its own: it neither makes decisions nor
// waits.
class ForwardAdapter {
 public:
  virtual ~ForwardAdapter() = default;

  // The path of the load balancer's readiness probe.
  virtual std::string_view ReadinessPath() const = 0;

  // Callers. CheckHead() returns an answer that refuses a head, for example one
  // over the limits; empty to accept the head.
  virtual std::optional<HttpResponse> CheckHead(
      const IncomingRequest& head) const = 0;
  virtual forward::ForwardedRequest DecodeRequest(
      IncomingRequest request) const = 0;
  virtual HttpResponse EncodeLocalAnswer(
      const forward::AnswerCaller& answer) const = 0;
  virtual void SetLimits(const forward::CallerLimits& limits) = 0;

  // Calls to endpoints, and what their answers hold.
  virtual HttpRequest EncodeAttempt(
      const forward::SendAttempt& attempt) const = 0;
  // Encodes a request for a peer, which decodes it by DecodeRequest(): with its
  // own method and target, which the caller replaces, and without an address.
  virtual HttpRequest EncodeCarried(
      const forward::CarryRequest& carry) const = 0;
  virtual forward::AnswerHead DecodeHead(
      const HttpResponse& response) const = 0;
  virtual forward::EndpointNotice DecodeNotice(
      const HttpResponse& response) const = 0;
  virtual HttpRequest EncodeHealthCheck(
      const forward::CheckEndpointHealth& check) const = 0;
  virtual forward::HealthCheckResult DecodeHealthCheck(
      const base::EndpointName& endpoint,
      const HttpOutcome& outcome) const = 0;
  virtual HttpRequest EncodeStageCall(const forward::StageCall& call) const = 0;
  virtual forward::StageCallOutcome DecodeStageCall(
      const HttpOutcome& outcome) const = 0;
  virtual HttpRequest EncodeFreeCall(
      const forward::FreeRequest& free_request) const = 0;

  // Calls to the platform's store.
  virtual void SetStore(const base::SocketAddress& address) = 0;
  virtual HttpRequest EncodeList(const forward::ListTable& list) const = 0;
  virtual HttpRequest EncodeFollow(
      const forward::FollowTable& follow) const = 0;
  virtual HttpRequest EncodeOwnRowWrite(
      const forward::WriteOwnRow& write) const = 0;
  virtual forward::Event DecodeListResponse(
      forward::FeedKind feed,
      const HttpOutcome& outcome) const = 0;
  virtual forward::Event DecodeFollowResponse(
      forward::FeedKind feed,
      const HttpOutcome& outcome) const = 0;
  // Parses the text of a configuration that a peer has passed on.
  virtual forward::RowContent DecodeConfiguration(
      std::string_view document) const = 0;
  virtual HttpRequest EncodeStreamRead(
      const forward::ReadStreamRows& read) const = 0;
  virtual HttpRequest EncodeStreamWrite(
      const forward::WriteStreamRows& write) const = 0;
  // Returns StreamRowsRead or StreamRowsFailed.
  virtual forward::Event DecodeStreamRead(forward::StreamCallId id,
                                          const HttpOutcome& outcome) const = 0;
  // Returns StreamRowsWritten or StreamRowsFailed.
  virtual forward::Event DecodeStreamWrite(
      forward::StreamCallId id,
      const HttpOutcome& outcome) const = 0;
  // Returns OwnRowWritten, OwnRowConflict or OwnRowFailed.
  virtual forward::Event DecodeOwnRowWrite(
      const HttpOutcome& outcome) const = 0;
};

}  // namespace bilberry::transport
