#include "Standins/spelled_request.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberry::standins {

namespace {

using namespace std::string_view_literals;

// A header line in parts, so that each of them can be spelled differently.
struct Line {
  std::string name;
  std::string colon = ":";
  std::string before = " ";  // White space before the value.
  std::string value;
  std::string after;  // White space after the value.
  std::string end = "\r\n";
};

struct Parts {
  std::string request_line_end = "\r\n";
  std::string method = "POST";
  std::string separator = " ";
  std::string target;
  std::string version = "HTTP/1.1";
  std::vector<Line> lines;
  bool is_chunked = false;
  std::string body_bytes;  // As framed.
  std::string head_end = "\r\n";
};

template <size_t N>
std::string Pick(base::Random& random,
                 const std::array<std::string_view, N>& from) {
  return std::string(from[random.Below(N)]);
}

std::string Print(const Parts& parts) {
  std::string text = parts.method + parts.separator + parts.target +
                     parts.separator + parts.version + parts.request_line_end;
  for (const Line& it : parts.lines)
    text += it.name + it.colon + it.before + it.value + it.after + it.end;
  return text + parts.head_end + parts.body_bytes;
}

std::string Hex(size_t number) {
  std::array<char, 20> buf{};
  std::snprintf(buf.data(), buf.size(), "%zx", number);
  return buf.data();
}

std::string ChunkedBody(base::Random& random, std::string_view body) {
  std::string text;
  while (!body.empty()) {
    const size_t n = 1 + random.Below(body.size());
    text += Hex(n) + (random.Below(3) == 0 ? ";name=value" : "") + "\r\n";
    text.append(body.substr(0, n)).append("\r\n");
    body.remove_prefix(n);
  }
  text += "0\r\n";
  if (random.Below(3) == 0)
    text += "X-Trailer: 1\r\n";
  return text + "\r\n";
}

std::string InAnyCase(base::Random& random, std::string text) {
  for (char& c : text) {
    if (random.Below(2) == 0 && c >= 'a' && c <= 'z')
      c = static_cast<char>(c - 'a' + 'A');
    else if (random.Below(2) == 0 && c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  }
  return text;
}

std::string WhiteSpace(base::Random& random) {
  return Pick<5>(random, {"", " ", "  ", "\t", " \t "});
}

Line& AnyLine(base::Random& random, Parts& parts) {
  return parts.lines[random.Below(parts.lines.size())];
}

Line& FramingLine(Parts& parts) {
  return parts.lines.back();
}

// Bytes that no token may hold.
std::string NoTokenByte(base::Random& random) {
  static constexpr std::string_view kBytes =
      "\0\1\t\v\f\x1f \"(),/;<=>?@[\\]{}\x7f\x80\xff"sv;
  return std::string(1, kBytes[random.Below(kBytes.size())]);
}

std::string ControlByte(base::Random& random) {
  static constexpr std::string_view kBytes = "\0\1\b\v\f\x1f\x7f"sv;
  return std::string(1, kBytes[random.Below(kBytes.size())]);
}

struct NearMiss {
  const char* name;
  void (*apply)(base::Random& random, Parts& parts);
};

void InsertAnywhere(base::Random& random,
                    std::string& text,
                    const std::string& bytes) {
  text.insert(random.Below(text.size() + 1), bytes);
}

void InsertLine(base::Random& random,
                Parts& parts,
                const std::string& name,
                const std::string& value) {
  Line line;
  line.name = name;
  line.value = value;
  const auto at = static_cast<std::ptrdiff_t>(random.Below(parts.lines.size()));
  parts.lines.insert(parts.lines.begin() + at, line);
}

constexpr NearMiss kNearMisses[] = {
    {"white space before the colon",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).colon =
           Pick<4>(random, {" :", "\t:", "  :", " \t:"});
     }},
    {"white space before the colon of the framing",
     [](base::Random& random, Parts& parts) {
       FramingLine(parts).colon = Pick<3>(random, {" :", "\t:", "  :"});
     }},
    {"a byte in a name that no token may hold",
     [](base::Random& random, Parts& parts) {
       InsertAnywhere(random, AnyLine(random, parts).name, NoTokenByte(random));
     }},
    {"a byte in the framing's name that no token may hold",
     [](base::Random& random, Parts& parts) {
       InsertAnywhere(random, FramingLine(parts).name, NoTokenByte(random));
     }},
    {"an empty name", [](base::Random& random,
                         Parts& parts) { AnyLine(random, parts).name = ""; }},
    {"a line without a colon",
     [](base::Random& random, Parts& parts) {
       Line& line = AnyLine(random, parts);
       line = {"X-Nothing", "", "", "", "", "\r\n"};
     }},
    {"a bare CR as the end of a line",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).end = "\r";
     }},
    {"two bare CRs as the end of a line",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).end = "\r\r";
     }},
    {"a bare CR before the end of a line",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).end = "\r\r\n";
     }},
    {"a bare LF as the end of a line",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).end = "\n";
     }},
    {"a bare CR in a value, and a header after it",
     [](base::Random& random, Parts& parts) {
       AnyLine(random, parts).value += "\rContent-Length: 0";
     }},
    {"a control byte in a value",
     [](base::Random& random, Parts& parts) {
       std::string& value = AnyLine(random, parts).value;
       value.insert(value.size() / 2, ControlByte(random));
     }},
    {"a line that goes on in the next one",
     [](base::Random& random, Parts& parts) {
       // The last line frames the body.
       Line& line = parts.lines[random.Below(parts.lines.size() - 1)];
       line.value += " more";
       line.value.replace(line.value.size() - 5, 1, "\r\n ");
     }},
    {"a name that goes on in the next line",
     [](base::Random& random, Parts& parts) {
       std::string& name = AnyLine(random, parts).name;
       name.insert(name.size() / 2, "\r\n ");
     }},
    {"a value of the framing that goes on in the next line",
     [](base::Random&, Parts& parts) {
       FramingLine(parts).value.insert(1, "\r\n ");
     }},
    {"a first line that goes on",
     [](base::Random& random, Parts& parts) {
       parts.lines.front().name.insert(0, Pick<2>(random, {" ", "\t"}));
     }},
    {"the framing twice",
     [](base::Random& random, Parts& parts) {
       Line line = FramingLine(parts);
       line.name = InAnyCase(random, line.name);
       parts.lines.insert(parts.lines.begin(), line);
     }},
    {"another length",
     [](base::Random& random, Parts& parts) {
       InsertLine(random, parts, "Content-Length", "5");
     }},
    {"another encoding",
     [](base::Random& random, Parts& parts) {
       InsertLine(random, parts, "Transfer-Encoding",
                  Pick<3>(random, {"chunked", "identity", "gzip"}));
     }},
    {"an odd length or encoding",
     [](base::Random& random, Parts& parts) {
       std::string& value = FramingLine(parts).value;
       if (parts.is_chunked)
         value =
             Pick<9>(random, {"xchunked", "chunked, identity", "gzip, chunked",
                              "chunked;q=1", "", "\"chunked\"",
                              "chunked, chunked", "chun ked", "identity"});
       else
         value = Pick<5>(random, {"+", "-", "0x", "5,", "5 "}) + value;
     }},
    {"a length that is no number",
     [](base::Random& random, Parts& parts) {
       FramingLine(parts).name = "Content-Length";
       FramingLine(parts).value = Pick<6>(
           random, {"", "x", "18446744073709551616", "5;", "5,5", "5.0"});
     }},
    {"a space before the method",
     [](base::Random&, Parts& parts) { parts.method.insert(0, " "); }},
    {"a method that is no token",
     [](base::Random& random, Parts& parts) {
       std::string byte;
       do
         byte = NoTokenByte(random);
       while (byte == " ");
       InsertAnywhere(random, parts.method, byte);
     }},
    {"other white space in the request line",
     [](base::Random& random, Parts& parts) {
       parts.separator = Pick<3>(random, {"  ", "\t", " \t"});
     }},
    {"a control byte in the target",
     [](base::Random& random, Parts& parts) {
       parts.target.insert(3, ControlByte(random));
     }},
    {"a byte in the target that no URI may hold",
     [](base::Random& random, Parts& parts) {
       InsertAnywhere(random, parts.target,
                      Pick<4>(random, {"#", "\x80", "\xff", "#%"}));
     }},
    {"an odd version",
     [](base::Random& random, Parts& parts) {
       parts.version = Pick<6>(random, {"", "HTTP/2.0", "HTTP/1", "http/1.1",
                                        "HTTP/1.1 ", "HTTP/1.1x"});
     }},
    {"a bare CR as the end of the request line",
     [](base::Random&, Parts& parts) { parts.request_line_end = "\r"; }},
    {"a bare CR before the end of the request line",
     [](base::Random&, Parts& parts) { parts.request_line_end = "\r\r\n"; }},
    {"two hosts",
     [](base::Random& random, Parts& parts) {
       Line line = parts.lines.front();
       line.name = InAnyCase(random, "Host");
       line.value = "other.example";
       parts.lines.insert(parts.lines.begin(), line);
     }},
    {"an odd chunk size",
     [](base::Random& random, Parts& parts) {
       if (!parts.is_chunked) {
         parts.method.insert(0, "\t");
         return;
       }
       parts.body_bytes.insert(
           0, Pick<7>(random, {"+", "-", "0x", " ", "\t", "ffffffffffffffff1",
                               "\r\n"}));
     }},
};

}  // namespace

SpelledRequest DrawSpelledRequest(base::Random& random,
                                  std::string target,
                                  base::HttpHeaders headers,
                                  std::string body) {
  SpelledRequest drawn;
  Parts parts;
  parts.target = std::move(target);
  const size_t more = random.Below(3);
  for (size_t i = 0; i < more; ++i)
    headers.push_back({Pick<4>(random, {"X-Note", "X_Note", "!#$%&'*+-.^_`|~0",
                                        "Content-Lengt"}),
                       Pick<4>(random, {"", "a", "a \t b", "\x80\xff:\""})});
  parts.is_chunked = random.Below(2) == 0;
  parts.body_bytes = parts.is_chunked ? ChunkedBody(random, body) : body;
  headers.push_back(
      parts.is_chunked
          ? base::HttpHeader{"Transfer-Encoding", "chunked"}
          : base::HttpHeader{"Content-Length", std::to_string(body.size())});
  drawn.spelling = "sound";
  for (base::HttpHeader& it : headers) {
    Line line;
    line.name = it.name = InAnyCase(random, it.name);
    line.value = it.value;
    line.before = WhiteSpace(random);
    line.after = WhiteSpace(random);
    parts.lines.push_back(line);
  }
  if (random.Below(4) > 0) {
    const NearMiss& miss = kNearMisses[random.Below(std::size(kNearMisses))];
    miss.apply(random, parts);
    drawn.spelling = miss.name;
    drawn.is_sound = false;
  }
  drawn.bytes = Print(parts);
  drawn.method = parts.method;
  drawn.target = parts.target;
  drawn.headers = std::move(headers);
  drawn.body = std::move(body);
  return drawn;
}

}  // namespace bilberry::standins
