#include "Standins/platform_standin.h"

#include <json/value.h>

#include <cstdlib>
#include <utility>

#include "LibTransport/json_text.h"
#include "LibTransport/platform_codec.h"

namespace bilberry::standins {

namespace {

using transport::HttpResponse;
using transport::IncomingRequest;

constexpr size_t kMaxBody = size_t{16} * 1024 * 1024;

HttpResponse Json(const Json::Value& value) {
  return {200,
          {{transport::kContentTypeHeader, transport::kJsonType}},
          transport::PrintCompact(value)};
}

HttpResponse Bare(int status) {
  return {status, {}, ""};
}

std::string ArgumentOf(const IncomingRequest& request, const char* name) {
  const std::string* value = transport::FindHeader(request.arguments, name);
  return value == nullptr ? "" : *value;
}

uint64_t NumberOf(const IncomingRequest& request, const char* name) {
  return std::strtoull(ArgumentOf(request, name).c_str(), nullptr, 10);
}

std::optional<base::PlatformRequest> ObjectRequestOf(
    const IncomingRequest& request) {
  std::string name =
      request.path.substr(std::string_view(transport::kObjectsPath).size());
  if (request.method == "PUT")
    return base::StoreObject{std::move(name), request.body};
  return base::FetchObject{std::move(name)};
}

std::optional<base::PlatformRequest> RequestOf(const IncomingRequest& request) {
  if (request.path == transport::kTableWritePath) {
    const auto body = transport::ParseJsonValue(request.body);
    auto write = transport::DecodeWriteRows(body.value_or(Json::Value()));
    if (!write)
      return std::nullopt;
    return std::move(write.value());
  }
  if (request.path == transport::kTableRowPath)
    return base::ReadRow{ArgumentOf(request, "key"),
                         base::RowVersion{NumberOf(request, "unless")}};
  if (request.path == transport::kTableRowsPath)
    return base::ListRows{ArgumentOf(request, "prefix"),
                          static_cast<uint32_t>(NumberOf(request, "limit"))};
  if (request.path == transport::kHostsPath)
    return base::PollHosts{NumberOf(request, "after")};
  if (request.path.starts_with(transport::kObjectsPath))
    return ObjectRequestOf(request);
  return std::nullopt;
}

HttpResponse Respond(const base::RowsWritten& written) {
  Json::Value answer;
  answer["results"] = Json::arrayValue;
  for (const base::TableWriteResult& result : written.results) {
    Json::Value one;
    one["applied"] = result.was_applied;
    one["row"] = transport::EncodeRow(result.row);
    answer["results"].append(std::move(one));
  }
  return Json(answer);
}

HttpResponse Respond(const base::RowRead& read) {
  if (!read.row)
    return Bare(transport::kNotModified);
  if (read.row->version == base::RowVersion::kAbsent)
    return Bare(transport::kNotFound);
  return Json(transport::EncodeRow(*read.row));
}

HttpResponse Respond(const base::RowsListed& listed) {
  Json::Value answer;
  answer["rows"] = Json::arrayValue;
  for (const base::TableRow& row : listed.rows)
    answer["rows"].append(transport::EncodeRow(row));
  return Json(answer);
}

HttpResponse Respond(const base::ObjectStored& /*stored*/) {
  return Bare(200);
}

HttpResponse Respond(const base::ObjectFetched& fetched) {
  if (!fetched.content)
    return Bare(transport::kNotFound);
  return {200, {}, *fetched.content};
}

HttpResponse Respond(const base::HostsPolled& polled) {
  Json::Value answer;
  answer["version"] = static_cast<Json::UInt64>(polled.version);
  answer["hosts"] = Json::arrayValue;
  for (const base::HostEntry& entry : polled.changed)
    answer["hosts"].append(transport::EncodeHost(entry));
  return Json(answer);
}

HttpResponse ResponseOf(const base::PlatformRequest& request,
                        const base::PlatformAnswer& answer) {
  const auto* poll = std::get_if<base::PollHosts>(&request);
  const auto* polled = std::get_if<base::HostsPolled>(&answer);
  if (poll != nullptr && polled->version == poll->version)
    return Bare(transport::kNotModified);
  return std::visit([](const auto& it) { return Respond(it); }, answer);
}

}  // namespace

PlatformStandin::PlatformStandin(transport::Reactor& reactor)
    : timers_(reactor), fault_injector_(timers_) {}

base::Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Create(
    transport::Reactor& reactor,
    const base::SocketAddress& address,
    const base::SocketAddress& control) {
  std::unique_ptr<PlatformStandin> standin(new PlatformStandin(reactor));
  PlatformStandin* raw = standin.get();
  TRY(service, transport::HttpListener::Create(
                   reactor, {address, kMaxBody}, [raw](IncomingRequest it) {
                     const auto exchange = it.exchange;
                     raw->fault_injector_.Serve(raw->service_, exchange,
                                                [&] { return raw->Serve(it); });
                   }));
  standin->service_ = std::move(service);
  TRY(orders,
      transport::HttpListener::Create(
          reactor, {control, kMaxBody}, [raw](const IncomingRequest& it) {
            raw->control_->Respond(it.exchange, raw->Control(it));
          }));
  standin->control_ = std::move(orders);
  return standin;
}

HttpResponse PlatformStandin::Serve(const IncomingRequest& request) {
  const auto asked = RequestOf(request);
  if (!asked)
    return Bare(400);
  return ResponseOf(*asked, store_.Apply(*asked));
}

HttpResponse PlatformStandin::PutHosts(const std::string& body) {
  const auto value = transport::ParseJsonValue(body);
  if (!value || !value->isArray())
    return Bare(400);
  for (const Json::Value& one : *value) {
    auto entry = transport::DecodeHost(one);
    if (!entry)
      return Bare(400);
    store_.PutHost(std::move(entry.value()));
  }
  return Bare(200);
}

HttpResponse PlatformStandin::Control(const IncomingRequest& request) {
  if (request.path == "/faults") {
    const auto fault = ParseFault(request.body);
    if (!fault)
      return Bare(400);
    fault_injector_.Order(fault.value());
    return Bare(200);
  }
  if (request.path == "/hosts")
    return PutHosts(request.body);
  if (request.path == "/counts") {
    const fakes::PlatformCounts& counts = store_.counts();
    Json::Value answer;
    answer["transactions"] = static_cast<Json::UInt64>(counts.transactions);
    answer["rows_written"] = static_cast<Json::UInt64>(counts.rows_written);
    answer["reads"] = static_cast<Json::UInt64>(counts.reads);
    return Json(answer);
  }
  return Bare(transport::kNotFound);
}

}  // namespace bilberry::standins
