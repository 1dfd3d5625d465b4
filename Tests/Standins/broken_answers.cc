#include "Standins/broken_answers.h"

namespace bilberry::standins {

std::vector<std::string> BrokenAnswers(const base::HttpHeaders& headers) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  std::string own;
  for (const base::HttpHeader& it : headers)
    own.append(it.name).append(": ").append(it.value).append("\r\n");
  const std::string rest = own + "Content-Length: 4\r\n\r\nbody";
  const std::string chunked = own + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      status + " Folded: x\r\n" + rest,
      status + own + "Content-Length: 18446744073709551620\r\n\r\nbody",
      status + own + "Content-Length : 4\r\n\r\nbody",
      status + own + "no field\r\n\r\nbody",
      "HTTP/1.1 000 OK\r\n" + rest,
      "HTTP/1.1 200x OK\r\n" + rest,
      status + "Name\x01: x\r\n" + rest,
      status + "Content-Length: 9\r\n" + status + rest,
      status + chunked + "4 x\r\nbody\r\n0\r\n\r\n",
  };
}

}  // namespace bilberry::standins
