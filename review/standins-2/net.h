// Blocking sockets and HTTP/1.1 for the stand-ins of this folder. Each
// connection of a server has a thread of its own.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace review {

// A loopback address.
struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Seconds since the program started.
double Now();
void SleepSeconds(double seconds);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method;
  std::string target;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  // The header's value; empty if the request has none of that name.
  std::string Header(const std::string& name) const;
};

// An open socket, closed by the destructor.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int descriptor() const { return descriptor_; }
  // Bounds each read from now on.
  void SetReadTimeout(double seconds) const;
  // All return false once the connection has ended.
  bool Send(std::string_view bytes) const;
  bool ReadMore(std::string& buffer) const;
  bool ReadRequest(Request& request);

 private:
  int descriptor_;
  std::string buffer_;
};

// Listens at the address, at any free port if its port is 0. Ends the program
// with code 2 if that fails.
Address Listen(const Address& address,
               const std::function<void(Connection&)>& serve);
// Whether nobody listens at the address.
bool IsFree(const Address& address);
// Returns -1 if nobody accepts within a second.
int Connect(const Address& address);

std::string PrintResponse(int status,
                          const Headers& headers,
                          const std::string& body);

struct Answer {
  int status = 0;         // 0 without a whole head.
  bool is_whole = false;  // Whether the body came to its end.
  std::string body;
  std::map<std::string, std::string> headers;
  double seconds = 0;  // From the first byte sent to the end.
};

struct Call {
  std::string method = "POST";
  std::string target;
  Headers headers;
  std::string body;
  double patience = 10;  // Seconds after which the caller leaves.
};

// Sends the request on the connection and reads its answer.
Answer Ask(Connection& connection, const Call& call);
// The same on a new connection.
Answer AskOnce(const Address& address, const Call& call);

}  // namespace review
