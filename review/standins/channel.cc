#include "channel.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <thread>
#include <utility>

namespace bilberry::review {

namespace {

constexpr int kBacklog = 1024;
constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kHexBase = 16;

sockaddr_in LoopbackAt(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  return address;
}

int PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Bind() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAt(0);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0)
    std::abort();
  return descriptor;
}

int MillisecondsUntil(Clock::time_point end) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(end - Clock::now());
  return static_cast<int>(std::max<int64_t>(left.count(), 0));
}

bool WaitFor(int descriptor, int16_t events, Clock::time_point end) {
  pollfd waiting{descriptor, events, 0};
  return poll(&waiting, 1, MillisecondsUntil(end)) > 0;
}

Message ParseHead(std::string_view head) {
  Message message;
  size_t at = head.find(kLineEnd);
  message.first_line = std::string(head.substr(0, at));
  while (at != std::string_view::npos) {
    const size_t begin = at + kLineEnd.size();
    at = head.find(kLineEnd, begin);
    const std::string_view line =
        head.substr(begin, at == std::string_view::npos ? at : at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message.headers.push_back({std::string(line.substr(0, colon)),
                               value == std::string_view::npos
                                   ? std::string()
                                   : std::string(line.substr(value))});
  }
  return message;
}

}  // namespace

std::string Message::Find(std::string_view name) const {
  for (const Header& it : headers) {
    if (it.name.size() == name.size() &&
        strncasecmp(it.name.c_str(), name.data(), name.size()) == 0)
      return it.value;
  }
  return {};
}

int Message::status() const {
  const size_t space = first_line.find(' ');
  return space == std::string::npos
             ? 0
             : static_cast<int>(
                   std::strtol(first_line.c_str() + space, nullptr, 10));
}

std::string Message::target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

Channel::Channel(int descriptor) : descriptor_(descriptor) {
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Channel::~Channel() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

Channel::Channel(Channel&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      unread_(std::move(other.unread_)) {}

std::optional<Channel> Channel::Connect(int port,
                                        std::chrono::milliseconds timeout) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0)
    return std::nullopt;
  Channel channel(descriptor);
  const sockaddr_in address = LoopbackAt(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS)
    return std::nullopt;
  if (!WaitFor(descriptor, POLLOUT, Clock::now() + timeout))
    return std::nullopt;
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return std::nullopt;
  return channel;
}

bool Channel::Write(std::string_view bytes) const {
  constexpr std::chrono::seconds kLongest{10};
  const Clock::time_point end = Clock::now() + kLongest;
  while (!bytes.empty()) {
    if (!WaitFor(descriptor_, POLLOUT, end))
      return false;
    const ssize_t n = send(descriptor_, bytes.data(), bytes.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

bool Channel::ReadMore(Clock::time_point end) {
  if (!WaitFor(descriptor_, POLLIN, end))
    return false;
  const size_t before = unread_.size();
  unread_.resize(before + kReadBytes);
  const ssize_t n = recv(descriptor_, unread_.data() + before, kReadBytes, 0);
  unread_.resize(before + static_cast<size_t>(std::max<ssize_t>(n, 0)));
  return n > 0;
}

bool Channel::ReadUntilSize(size_t size, Clock::time_point end) {
  while (unread_.size() < size) {
    if (!ReadMore(end))
      return false;
  }
  return true;
}

bool Channel::ReadChunks(std::string& body, Clock::time_point end) {
  for (;;) {
    size_t line = unread_.find(kLineEnd);
    while (line == std::string::npos) {
      if (!ReadMore(end))
        return false;
      line = unread_.find(kLineEnd);
    }
    const size_t size = std::strtoul(unread_.c_str(), nullptr, kHexBase);
    const size_t begin = line + kLineEnd.size();
    if (!ReadUntilSize(begin + size + kLineEnd.size(), end))
      return false;
    body += unread_.substr(begin, size);
    unread_.erase(0, begin + size + kLineEnd.size());
    if (size == 0)
      return true;
  }
}

std::optional<Message> Channel::Read(std::chrono::milliseconds timeout) {
  const Clock::time_point end = Clock::now() + timeout;
  size_t head = unread_.find(kHeadEnd);
  while (head == std::string::npos) {
    if (!ReadMore(end))
      return std::nullopt;
    head = unread_.find(kHeadEnd);
  }
  Message message = ParseHead(unread_.substr(0, head));
  unread_.erase(0, head + kHeadEnd.size());
  if (message.Find("Transfer-Encoding") == "chunked") {
    if (!ReadChunks(message.body, end))
      return std::nullopt;
    return message;
  }
  const size_t size =
      std::strtoul(message.Find("Content-Length").c_str(), nullptr, 10);
  if (!ReadUntilSize(size, end))
    return std::nullopt;
  message.body = unread_.substr(0, size);
  unread_.erase(0, size);
  return message;
}

Acceptor::Acceptor(Handler handler)
    : handler_(std::move(handler)), descriptor_(Bind()) {
  listen(descriptor_, kBacklog);
  port_ = PortOf(descriptor_);
  std::thread([this] { Run(); }).detach();
}

std::string Acceptor::address() const {
  return std::string(kLoopback) + ":" + std::to_string(port_);
}

void Acceptor::Run() const {
  for (;;) {
    const int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      continue;
    std::thread([this, channel = Channel(descriptor)]() mutable {
      handler_(std::move(channel));
    }).detach();
  }
}

int FreePort() {
  const int descriptor = Bind();
  const int port = PortOf(descriptor);
  close(descriptor);
  return port;
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view it : parts)
    text += it;
  return text;
}

std::string Answer(std::string_view status,
                   const std::vector<Header>& headers,
                   std::string_view body) {
  std::string text = "HTTP/1.1 " + std::string(status) + "\r\n";
  for (const Header& it : headers)
    text += it.name + ": " + it.value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

}  // namespace bilberry::review
