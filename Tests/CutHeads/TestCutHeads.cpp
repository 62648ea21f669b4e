//===- TestCutHeads.cpp - Servers that stop inside the head ---------------===//
//
// Servers that end or reset their connection at each byte of an answer, for
// each kind of request. No caller gets an answer that looks whole.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

const std::string Body = "0123456789";
const std::string Event = "id: 1\ndata: one\n\n";

} // namespace

TEST_GROUP(CutHeads) {
  GatewayFixture Fixture;
  std::unique_ptr<RawServer> Server;
  std::string Framing;
  std::string Content;
  size_t Cut = 0;
  ConnectionEnd End = ConnectionEnd::Close;
  bool HasInterim = false;

  RawResponse cutAnswer(const std::string &Head) const {
    const std::string Whole =
        std::string(HasInterim ? "HTTP/1.1 103 Early "
                                 "Hints\r\n\r\n"
                               : "") +
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptOf(Head) +
        "\r\nX-Response-Signature: s\r\n" + Framing + "\r\n\r\n" + Content;
    return {Whole.substr(0, Cut), End};
  }
  void start(const std::string &Service, const std::string &Stage) {
    Server = std::make_unique<RawServer>(
        Fixture.Loop,
        [this](const std::string &Head) { return cutAnswer(Head); });
    Fixture.listServer("s1", Service, Server->address(), Stage);
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 1");
    }));
  }
  /// Plays a cut at each byte up to the end of the head.
  void playAll(const std::string &Path, const std::string &Fields) {
    Cut = std::string::npos;
    const size_t Whole =
        cutAnswer("\r\nX-Attempt-Id: a000\r\n").Bytes.size() - Content.size();
    for (Cut = 0; Cut < Whole; ++Cut) {
      const std::string Attempt = "a" + std::to_string(1000 + Cut).substr(1);
      const std::string Answer =
          Fixture.exchange(Fixture.Settings.Listen.Callers,
                           "POST " + Path +
                               "x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                               "Content-Length: 0\r\nX-Attempt-Id: " +
                               Attempt + "\r\n" + Fields + "\r\n");
      CHECK_FALSE(contains(Answer, "HTTP/1.1 2"));
    }
    Cut = 0;
  }
  void playFramings(const std::string &Path, const std::string &Fields,
                    const std::string &WholeBody) {
    char Size[20];
    std::snprintf(Size, sizeof(Size), "%zx", WholeBody.size());
    for (const bool Interim : {false, true})
      for (const ConnectionEnd Ending :
           {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        HasInterim = Interim;
        End = Ending;
        Framing = "Content-Length: " + std::to_string(WholeBody.size());
        Content = WholeBody;
        playAll(Path, Fields);
        Framing = "Transfer-Encoding: chunked";
        Content = Size + std::string("\r\n") + WholeBody + "\r\n0\r\n\r\n";
        playAll(Path, Fields);
        Framing = "Connection: close";
        Content = WholeBody;
        playAll(Path, Fields);
      }
    CHECK(Server->Requests.size() > 100);
  }
};

// Failure: a request that may run once is answered with an empty or short body
// framed as whole.
TEST(CutHeads, RequestsThatMayRunOnce) {
  start("plain", "");
  playFramings("/unsafe/", "", Body);
}

// Failure: the same for requests that may be repeated.
TEST(CutHeads, RequestsThatMayBeRepeated) {
  start("plain", "");
  playFramings("/safe/", "", Body);
}

// Failure: a stream without events looks complete.
TEST(CutHeads, Streams) {
  start("model", "decode");
  playFramings("/once/", PromptHeaders, Event);
}

// Failure: the same for streams that go on elsewhere.
TEST(CutHeads, ResumableStreams) {
  start("model", "decode");
  playFramings("/stream/", PromptHeaders, Event);
}
