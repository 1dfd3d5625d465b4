#include "reading_bench.h"

#include <string>

#include "LibForward/event_splitter.h"
#include "LibTransport/answer_reader.h"
#include "LibTransport/request_reader.h"

namespace bilberry::bench {

namespace {

// Readers refuse heads, and lines between chunks, of a little more than four
// times as many bytes.
constexpr size_t kPieces = 7'500;
constexpr size_t kFactors[] = {1, 2, 4};
constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void ReadChunks(size_t pieces) {
  transport::AnswerReader reader(transport::AnswerBody::kAllowed);
  reader.Read(kChunkedHead);
  for (size_t i = 0; i < pieces; ++i) {
    reader.Read("1\r\n\n\r\n");
    reader.TakeBody();
  }
}

void ReadChunkExtension(size_t pieces) {
  transport::AnswerReader reader(transport::AnswerBody::kAllowed);
  reader.Read(kChunkedHead);
  reader.Read("1;");
  for (size_t i = 0; i < pieces; ++i)
    reader.Read("a");
}

void ReadHeader(size_t pieces) {
  transport::AnswerReader reader(transport::AnswerBody::kAllowed);
  reader.Read("HTTP/1.1 200 OK\r\nName: ");
  for (size_t i = 0; i < pieces; ++i)
    reader.Read("a");
}

// As a listener's connection does: what isn't used is passed again.
void ReadRequest(std::string input, size_t pieces) {
  transport::RequestReader reader({pieces * 2, pieces * 2});
  for (size_t i = 0; i < pieces; ++i) {
    input += 'a';
    input.erase(0, reader.Read(input));
  }
}

void ReadRequestHead(size_t pieces) {
  ReadRequest("GET / HTTP/1.1\r\nHost: h\r\nName: ", pieces);
}

void ReadRequestChunk(size_t pieces) {
  ReadRequest(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;",
      pieces);
}

void SplitLines(size_t pieces) {
  forward::EventSplitter splitter;
  for (size_t i = 0; i < pieces; ++i)
    splitter.Add("x\n");
}

const struct {
  std::string_view what;
  void (*read)(size_t pieces);
} kReaders[] = {
    {"answer: chunks", ReadChunks},
    {"answer: a chunk's extension", ReadChunkExtension},
    {"answer: a header", ReadHeader},
    {"request: a header", ReadRequestHead},
    {"request: a chunk's extension", ReadRequestChunk},
    {"stream: lines of one event", SplitLines},
};

}  // namespace

std::vector<ReadingCost> MeasureReading() {
  using Clock = std::chrono::steady_clock;
  std::vector<ReadingCost> costs;
  for (const auto& reader : kReaders) {
    for (const size_t factor : kFactors) {
      const size_t pieces = kPieces * factor;
      const auto begin = Clock::now();
      reader.read(pieces);
      const std::chrono::nanoseconds time = Clock::now() - begin;
      costs.push_back(
          {reader.what, pieces, time / static_cast<int64_t>(pieces)});
    }
  }
  return costs;
}

}  // namespace bilberry::bench
