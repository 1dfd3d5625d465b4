#include "Standins/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>
#include <vector>

namespace bilberry::standins {

namespace {

constexpr int kBacklog = 128;
constexpr size_t kBlock = 16384;
constexpr std::chrono::milliseconds kSlowLinkDelay{100};

sockaddr_in NativeOf(const base::SocketAddress& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

const sockaddr* Generic(const sockaddr_in& native) {
  return reinterpret_cast<const sockaddr*>(&native);
}

}  // namespace

base::Result<std::unique_ptr<Relay>> Relay::Create(
    transport::Reactor& reactor,
    const base::SocketAddress& listen,
    const base::SocketAddress& target) {
  std::unique_ptr<Relay> relay(new Relay(reactor, target));
  TRY(relay->Listen(listen));
  return relay;
}

base::Result<void> Relay::Listen(const base::SocketAddress& listen) {
  listen_ = listen;
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in native = NativeOf(listen);
  if (bind(listener_, Generic(native), sizeof(native)) != 0 ||
      ::listen(listener_, kBacklog) != 0)
    return base::Error{base::ErrorCode::kSystem, base::Step::kListen,
                       base::ToText(listen), std::strerror(errno)};
  socklen_t size = sizeof(native);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&native), &size);
  listen_.port = ntohs(native.sin_port);
  reactor_.Watch(listener_, *this, ACE_Event_Handler::READ_MASK);
  return base::Success();
}

Relay::~Relay() {
  while (!sides_.empty())
    Close(sides_.begin()->first);
  if (listener_ >= 0) {
    reactor_.Unwatch(listener_);
    close(listener_);
  }
}

void Relay::Order(LinkState state) {
  state_ = state;
  if (state == LinkState::kDropsOldConnections) {
    for (auto& [descriptor, side] : sides_)
      side.is_dropped = true;
  }
  if (state == LinkState::kRefusing) {
    while (!sides_.empty())
      Close(sides_.begin()->first);
  }
}

int Relay::handle_input(ACE_HANDLE descriptor) {
  if (descriptor == listener_)
    Accept();
  else
    Forward(descriptor);
  return 0;
}

int Relay::handle_output(ACE_HANDLE descriptor) {
  Flush(descriptor);
  return 0;
}

void Relay::Accept() {
  const int caller =
      accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (caller < 0)
    return;
  if (state_ == LinkState::kRefusing) {
    close(caller);
    return;
  }
  const int onward = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = NativeOf(target_);
  // The target is local, so connecting succeeds or fails at once.
  if (connect(onward, Generic(native), sizeof(native)) != 0) {
    close(onward);
    close(caller);
    return;
  }
  sides_[caller] = {onward, true, false, "", ++last_serial_};
  sides_[onward] = {caller, false, false, "", ++last_serial_};
  reactor_.Watch(caller, *this, ACE_Event_Handler::READ_MASK);
  reactor_.Watch(onward, *this, ACE_Event_Handler::READ_MASK);
}

bool Relay::DoesForward(const Side& from) const {
  if (from.is_dropped)
    return false;
  switch (state_) {
    case LinkState::kHealthy:
    case LinkState::kDropsOldConnections:
    case LinkState::kSlow:
    case LinkState::kDuplicating:
      return true;
    case LinkState::kOneWayOut:
      return from.is_from_caller;
    case LinkState::kOneWayBack:
      return !from.is_from_caller;
    case LinkState::kSilent:
    case LinkState::kRefusing:
      return false;
  }
  return false;
}

void Relay::Forward(int descriptor) {
  const auto it = sides_.find(descriptor);
  if (it == sides_.end())
    return;
  std::array<char, kBlock> buf{};
  const ssize_t n = recv(descriptor, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  const bool does_forward = DoesForward(it->second);
  // Bytes behind delayed bytes must not overtake them.
  const bool is_delayed = state_ == LinkState::kSlow || bytes_per_second_ > 0 ||
                          it->second.delayed_blocks > 0;
  if (n <= 0) {
    // A silent link doesn't forward the end of a connection either.
    if (does_forward && is_delayed)
      ForwardLater(descriptor, it->second, "");
    else if (does_forward)
      Close(descriptor);
    else
      reactor_.Unwatch(descriptor);
    return;
  }
  if (!does_forward)
    return;
  passed_bytes_ += static_cast<uint64_t>(n);
  if (is_delayed) {
    ForwardLater(descriptor, it->second,
                 std::string(buf.data(), static_cast<size_t>(n)));
    return;
  }
  const int peer = it->second.peer;
  sides_.at(peer).unsent.append(buf.data(), static_cast<size_t>(n));
  if (state_ == LinkState::kDuplicating && it->second.is_from_caller)
    sides_.at(peer).unsent.append(buf.data(), static_cast<size_t>(n));
  Flush(peer);
}

// An empty string stands for the end of the connection.
void Relay::ForwardLater(int descriptor, Side& from, std::string bytes) {
  if (bytes.empty())
    reactor_.Unwatch(descriptor);
  // Holds the sender back.
  if (bytes_per_second_ > 0)
    reactor_.Unwatch(descriptor);
  ++from.delayed_blocks;
  const base::Duration delay = DelayOf(bytes.size());
  timers_.After(
      delay, [this, descriptor, serial = from.serial, text = std::move(bytes)] {
        ForwardDelayed(descriptor, serial, text);
      });
}

base::Duration Relay::DelayOf(size_t bytes) {
  if (bytes_per_second_ == 0)
    return kSlowLinkDelay;
  const base::TimePoint now = reactor_.Now();
  busy_until_ =
      std::max(busy_until_, now) +
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) / static_cast<double>(bytes_per_second_)));
  return busy_until_ - now;
}

void Relay::ForwardDelayed(int descriptor,
                           uint64_t serial,
                           const std::string& bytes) {
  const auto it = sides_.find(descriptor);
  if (it == sides_.end() || it->second.serial != serial)
    return;
  --it->second.delayed_blocks;
  if (!DoesForward(it->second))
    return;
  if (bytes.empty()) {
    Close(descriptor);
    return;
  }
  if (bytes_per_second_ > 0)
    reactor_.Watch(descriptor, *this, ACE_Event_Handler::READ_MASK);
  const int peer = it->second.peer;
  sides_.at(peer).unsent.append(bytes);
  Flush(peer);
}

void Relay::Flush(int descriptor) {
  const auto it = sides_.find(descriptor);
  if (it == sides_.end())
    return;
  std::string& unsent = it->second.unsent;
  const ssize_t n = send(descriptor, unsent.data(), unsent.size(),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN) {
    Close(descriptor);
    return;
  }
  if (n > 0)
    unsent.erase(0, static_cast<size_t>(n));
  ACE_Reactor_Mask mask = ACE_Event_Handler::READ_MASK;
  if (!unsent.empty())
    mask |= ACE_Event_Handler::WRITE_MASK;
  reactor_.Watch(descriptor, *this, mask);
}

void Relay::Close(int descriptor) {
  const auto it = sides_.find(descriptor);
  if (it == sides_.end())
    return;
  const int peer = it->second.peer;
  for (const int each : {descriptor, peer}) {
    reactor_.Unwatch(each);
    close(each);
    sides_.erase(each);
  }
}

}  // namespace bilberry::standins
