#include "late_answer_endpoint.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <json/value.h>

#include <cstdlib>

#include "LibTransport/json_text.h"
#include "platform/wire_names.h"

namespace bilberry::platform {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLength = "Content-Length: ";

std::string Refusal() {
  return "HTTP/1.1 503 Busy\r\n" + std::string(wire::kNotRun) +
         ": 1\r\nContent-Length: 0\r\n\r\n";
}

std::string Success(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Each handle is unique, as those of a real endpoint are.
std::string ResultsOf(const std::string& body, size_t number) {
  const auto call = transport::ParseJsonValue(body);
  Json::Value answer;
  for (const Json::Value& item : (*call)["items"]) {
    Json::Value made;
    made["handle"] = "10.0.0.9:80/" + item["id"].asString() + "-" +
                     std::to_string(item["piece"].asUInt()) + "-" +
                     std::to_string(number);
    answer["items"].append(made);
  }
  return Success(transport::PrintCompact(answer));
}

void Send(int descriptor, const std::string& text) {
  (void)send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

}  // namespace

LateAnswerEndpoint::LateAnswerEndpoint()
    : listening_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(bind(listening_, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(listen(listening_, 4) == 0);
  getsockname(listening_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = {"127.0.0.1", ntohs(address.sin_port)};
  accepting_ = std::thread([this] { Accept(); });
}

LateAnswerEndpoint::~LateAnswerEndpoint() {
  shutdown(listening_, SHUT_RDWR);
  accepting_.join();
  for (const int it : descriptors_)
    shutdown(it, SHUT_RDWR);
  for (std::thread& it : serving_)
    it.join();
  for (const int it : descriptors_)
    close(it);
  close(listening_);
}

void LateAnswerEndpoint::Accept() {
  for (;;) {
    const int descriptor = accept(listening_, nullptr, nullptr);
    if (descriptor < 0)
      return;
    descriptors_.push_back(descriptor);
    serving_.emplace_back([this, descriptor] { Serve(descriptor); });
  }
}

void LateAnswerEndpoint::Serve(int descriptor) {
  Connection connection;
  connection.descriptor = descriptor;
  std::string bytes;
  char buf[4096];
  for (;;) {
    const size_t head = bytes.find(kHeadEnd);
    const size_t length = bytes.find(kLength);
    const size_t body = head + kHeadEnd.size();
    const size_t end =
        head == std::string::npos || length == std::string::npos
            ? std::string::npos
            : body + std::strtoul(&bytes[length + kLength.size()], nullptr, 10);
    if (end <= bytes.size()) {
      const std::lock_guard lock(mutex_);
      if (bytes.find(wire::kStageRunPath) < head)
        AnswerCall(connection, bytes.substr(body, end - body));
      else
        Send(descriptor, Success(""));
      bytes.erase(0, end);
      continue;
    }
    const ssize_t n = recv(descriptor, buf, sizeof(buf), 0);
    if (n <= 0)
      return;
    bytes.append(buf, static_cast<size_t>(n));
  }
}

void LateAnswerEndpoint::AnswerCall(Connection& connection,
                                    const std::string& body) {
  if (call_count_++ == 0) {
    connection.was_refused = true;
    Send(connection.descriptor, Refusal());
    return;
  }
  std::string answer = ResultsOf(body, call_count_);
  if (!connection.was_refused) {
    Send(connection.descriptor, answer);
    return;
  }
  if (!connection.has_sent_copy) {
    connection.has_sent_copy = true;
    connection.late_answer = Refusal();
  }
  Send(connection.descriptor, connection.late_answer);
  connection.late_answer = std::move(answer);
}

}  // namespace bilberry::platform
