#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr size_t kBlock = size_t{64} * 1024;
constexpr int kBacklog = 512;
constexpr int kConnectMilliseconds = 1000;
constexpr int kExitCannotRun = 2;

const std::chrono::steady_clock::time_point kStart =
    std::chrono::steady_clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

sockaddr_in NativeOf(const Address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

// Reads the lines of a head, without its blank line; returns the first one.
std::string ParseHead(std::string_view head,
                      std::map<std::string, std::string>& headers) {
  std::string first;
  bool is_first = true;
  while (!head.empty()) {
    const size_t end = std::min(head.find("\r\n"), head.size());
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(end + 2, head.size()));
    const size_t colon = line.find(':');
    if (std::exchange(is_first, false)) {
      first = std::string(line);
    } else if (colon != std::string_view::npos) {
      std::string_view value = line.substr(colon + 1);
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      headers[Lower(std::string(line.substr(0, colon)))] = std::string(value);
    }
  }
  return first;
}

// Decodes the chunks that are complete. Returns whether the last one is.
bool DecodeChunks(std::string& raw, std::string& body) {
  for (;;) {
    const size_t line = raw.find("\r\n");
    if (line == std::string::npos)
      return false;
    const size_t size = std::strtoul(raw.c_str(), nullptr, 16);
    if (raw.size() < line + 2 + size + 2)
      return false;
    body.append(raw, line + 2, size);
    raw.erase(0, line + 2 + size + 2);
    if (size == 0)
      return true;
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepSeconds(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string Request::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

Connection::~Connection() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

void Connection::SetReadTimeout(double seconds) const {
  timeval timeout{};
  timeout.tv_sec = static_cast<time_t>(seconds);
  timeout.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(timeout.tv_sec)) * 1e6);
  if (timeout.tv_sec == 0 && timeout.tv_usec <= 0)
    timeout.tv_usec = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

bool Connection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

bool Connection::ReadMore(std::string& buffer) const {
  std::array<char, kBlock> block{};
  const ssize_t n = recv(descriptor_, block.data(), block.size(), 0);
  if (n <= 0)
    return false;
  buffer.append(block.data(), static_cast<size_t>(n));
  return true;
}

bool Connection::ReadRequest(Request& request) {
  request = {};
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(buffer_))
      return false;
  }
  const std::string first =
      ParseHead(std::string_view{buffer_}.substr(0, end), request.headers);
  buffer_.erase(0, end + 4);
  const size_t method_end = first.find(' ');
  const size_t target_end = first.find(' ', method_end + 1);
  if (target_end == std::string::npos)
    return false;
  request.method = first.substr(0, method_end);
  request.target = first.substr(method_end + 1, target_end - method_end - 1);
  const size_t size = static_cast<size_t>(
      std::strtoull(request.Header("content-length").c_str(), nullptr, 10));
  while (buffer_.size() < size) {
    if (!ReadMore(buffer_))
      return false;
  }
  request.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

Address Listen(const Address& address,
               const std::function<void(Connection&)>& serve) {
  const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in native = NativeOf(address);
  socklen_t size = sizeof(native);
  auto* generic = reinterpret_cast<sockaddr*>(&native);
  if (bind(listening, generic, size) != 0 || listen(listening, kBacklog) != 0 ||
      getsockname(listening, generic, &size) != 0) {
    std::cerr << "can't listen at " << address.Text() << "\n";
    std::_Exit(kExitCannotRun);
  }
  std::thread([listening, serve] {
    for (;;) {
      const int descriptor = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0)
        continue;
      std::thread([descriptor, serve] {
        Connection connection(descriptor);
        serve(connection);
      }).detach();
    }
  }).detach();
  return {address.ip, ntohs(native.sin_port)};
}

bool IsFree(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in native = NativeOf(address);
  const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&native),
                            sizeof(native)) == 0;
  close(descriptor);
  return is_free;
}

int Connect(const Address& address) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in native = NativeOf(address);
  bool has_connected = connect(descriptor, reinterpret_cast<sockaddr*>(&native),
                               sizeof(native)) == 0;
  if (!has_connected && errno == EINPROGRESS) {
    pollfd waiting{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    has_connected =
        poll(&waiting, 1, kConnectMilliseconds) == 1 &&
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0;
  }
  if (!has_connected) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  return descriptor;
}

std::string PrintResponse(int status,
                          const Headers& headers,
                          const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Answer Ask(Connection& connection, const Call& call) {
  std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : call.headers)
    text.append(name).append(": ").append(value).append("\r\n");
  text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" +
          call.body;
  Answer answer;
  const double begun = Now();
  std::string raw;
  bool has_head = false;
  bool is_open = connection.Send(text);
  while (is_open && !answer.is_whole) {
    const double left = call.patience - (Now() - begun);
    if (left <= 0)
      break;
    connection.SetReadTimeout(left);
    is_open = connection.ReadMore(raw);
    const size_t end = raw.find("\r\n\r\n");
    if (!has_head && end != std::string::npos) {
      has_head = true;
      const std::string first =
          ParseHead(std::string_view{raw}.substr(0, end), answer.headers);
      answer.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
      raw.erase(0, end + 4);
    }
    if (!has_head)
      continue;
    const auto length = answer.headers.find("content-length");
    if (answer.headers.count("transfer-encoding") > 0) {
      answer.is_whole = DecodeChunks(raw, answer.body);
    } else if (length != answer.headers.end()) {
      answer.body = raw;
      answer.is_whole =
          raw.size() >= std::strtoul(length->second.c_str(), nullptr, 10);
    }
  }
  answer.seconds = Now() - begun;
  return answer;
}

Answer AskOnce(const Address& address, const Call& call) {
  Connection connection{Connect(address)};
  if (connection.descriptor() < 0)
    return {};
  return Ask(connection, call);
}

}  // namespace review
