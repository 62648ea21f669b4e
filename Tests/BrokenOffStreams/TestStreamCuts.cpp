//===- TestStreamCuts.cpp - Streams cut at every byte ---------------------===//
//
// For each framing, each way to end lines and each byte of a stream: what the
// caller gets is a sequence of whole events, and the stream counts as whole
// only if the server's was. Uses the parser and the relay without a network.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/ResponseParser.h"
#include "figlift-gateway/WholeStream.h"

#include <CppUTest/TestHarness.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace figlift;
using proxy::BodyFraming;
using proxy::ResponseParser;
using State = ResponseParser::State;

namespace {

constexpr std::array Framings = {BodyFraming::Length, BodyFraming::Chunks,
                                 BodyFraming::ConnectionEnd};

/// Three events, the last of them with a character of two bytes.
std::vector<std::string> events(std::string_view LineEnd) {
  std::vector<std::string> All;
  for (const char *Data : {"one", ": two", "\xC3\xA9"})
    All.push_back(fmt::format("id: {}{}data: {}{}{}", All.size() + 1, LineEnd,
                              Data, LineEnd, LineEnd));
  return All;
}

std::string join(const std::vector<std::string> &Parts, size_t Count) {
  std::string Text;
  for (size_t I = 0; I < Count; ++I)
    Text += Parts[I];
  return Text;
}

std::string response(BodyFraming Framing, std::string_view Body) {
  constexpr std::string_view Head = "HTTP/1.1 200 OK\r\n";
  switch (Framing) {
  case BodyFraming::Length:
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", Head, Body.size(),
                       Body);
  case BodyFraming::Chunks: {
    std::string Text =
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n", Head);
    for (const char Byte : Body)
      Text += fmt::format("1\r\n{}\r\n", Byte);
    return Text + "0\r\n\r\n";
  }
  case BodyFraming::ConnectionEnd:
    return fmt::format("{}\r\n{}", Head, Body);
  }
  return {};
}

struct Received {
  std::string Events;
  bool IsWhole = false;
};

/// What a caller gets if the server sends \p Bytes and then ends its connection
/// in order.
Received receive(std::string_view Bytes, size_t PieceSize) {
  ResponseParser Parser;
  dispatch::EventRelay Relay;
  Received Result;
  for (; !Bytes.empty();
       Bytes.remove_prefix(std::min(PieceSize, Bytes.size()))) {
    Parser.feed(Bytes.substr(0, PieceSize));
    Result.Events += Relay.feed(Parser.takeBody());
  }
  const bool IsComplete = Parser.finish() == State::Complete;
  Result.IsWhole =
      IsComplete && gateway::isWholeStream(Relay.end(), Parser.head().Framing);
  return Result;
}

/// The number of whole events in the first \p Size bytes of a stream.
size_t wholeEvents(const std::vector<std::string> &All, size_t Size) {
  size_t Count = 0;
  while (Count < All.size() && join(All, Count + 1).size() <= Size)
    ++Count;
  return Count;
}

} // namespace

TEST_GROUP(StreamCuts){
    /// Calls \p Check for each way to end lines, each framing and each size of
    /// the pieces that arrive.
    template <typename Callback> void forEachStream(Callback Check){
        for (const char *LineEnd
             : {"\n", "\r\n",
                "\r"}) for (const BodyFraming Framing
                            : Framings) for (const size_t PieceSize
                                             : {1U, 7U, 4096U})
            Check(events(LineEnd), Framing, PieceSize);
}
}
;

// Failure: a server's connection ends within its response, and the caller gets
// part of an event, or a stream that looks whole.
TEST(StreamCuts, ConnectionThatEndsWithinTheResponse) {
  forEachStream([](const auto &All, BodyFraming Framing, size_t PieceSize) {
    const std::string Stream = join(All, All.size());
    const std::string Bytes = response(Framing, Stream);
    const size_t HeadSize = response(Framing, "").size();
    for (size_t Cut = 0; Cut < Bytes.size(); ++Cut) {
      const Received Result = receive(Bytes.substr(0, Cut), PieceSize);
      const size_t Count = wholeEvents(All, Result.Events.size());
      STRCMP_EQUAL(join(All, Count).c_str(), Result.Events.c_str());
      // Without framing, a stream that ends with an event may be whole.
      const bool MayBeWhole = Framing == BodyFraming::ConnectionEnd &&
                              Count > 0 &&
                              Cut == HeadSize + join(All, Count).size();
      LONGS_EQUAL(MayBeWhole, Result.IsWhole);
    }
  });
}

// Failure: a server, or a proxy in front of it, frames part of a stream as a
// complete response, and the caller gets it as a whole stream.
TEST(StreamCuts, StreamThatIsFramedAsComplete) {
  forEachStream([](const auto &All, BodyFraming Framing, size_t PieceSize) {
    const std::string Stream = join(All, All.size());
    for (size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
      const Received Result =
          receive(response(Framing, Stream.substr(0, Cut)), PieceSize);
      const size_t Count = wholeEvents(All, Cut);
      STRCMP_EQUAL(join(All, Count).c_str(), Result.Events.c_str());
      const bool EndsWithEvent = Cut == join(All, Count).size();
      const bool MayBeEmpty = Framing != BodyFraming::ConnectionEnd;
      LONGS_EQUAL(EndsWithEvent && (Count > 0 || MayBeEmpty), Result.IsWhole);
    }
  });
}
