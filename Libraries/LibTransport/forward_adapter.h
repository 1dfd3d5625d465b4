#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "LibForward/forward_action.h"
#include "LibForward/forward_event.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"

namespace bilberry::transport {

// What a platform calls things on the wire. It translates only: it neither
// decides nor waits.
class ForwardAdapter {
 public:
  virtual ~ForwardAdapter() = default;

  // The path at which the balancer asks whether this host is ready.
  virtual std::string_view ReadinessPath() const = 0;

  // Callers. CheckHead() answers requests that can't be read as one request.
  virtual std::optional<HttpResponse> CheckHead(
      const IncomingRequest& head) const = 0;
  virtual forward::ForwardedRequest DecodeRequest(
      IncomingRequest request) const = 0;
  virtual HttpResponse EncodeLocalAnswer(
      const forward::AnswerCaller& answer) const = 0;
  virtual void SetLimits(const forward::CallerLimits& limits) = 0;

  // Endpoints.
  virtual HttpRequest EncodeAttempt(
      const forward::SendAttempt& attempt) const = 0;
  virtual forward::AnswerHead DecodeHead(
      const HttpResponse& response) const = 0;
  virtual forward::EndpointNotice DecodeNotice(
      const HttpResponse& response) const = 0;
  virtual HttpRequest EncodeStageCall(const forward::StageCall& call) const = 0;
  virtual forward::StageCallOutcome DecodeStageCall(
      const HttpOutcome& outcome) const = 0;
  virtual HttpRequest EncodeFreeCall(
      const forward::FreeRequest& order) const = 0;

  // The store.
  virtual void SetStore(const base::SocketAddress& address) = 0;
  virtual HttpRequest EncodeList(const forward::ListTable& list) const = 0;
  virtual HttpRequest EncodeFollow(
      const forward::FollowTable& follow) const = 0;
  virtual HttpRequest EncodeWriteOwnRow(
      const forward::PeerHost& host) const = 0;
  virtual HttpRequest EncodeRemoveOwnRow(const base::HostName& host) const = 0;
  virtual forward::Event DecodeListResponse(
      forward::FeedKind feed,
      const HttpOutcome& outcome) const = 0;
  virtual forward::Event DecodeFollowResponse(
      forward::FeedKind feed,
      const HttpOutcome& outcome) const = 0;
};

}  // namespace bilberry::transport
