//===- TestStreamVersions.cpp - Streams beside a change of software -------===//
//
// Engines of two software versions in one service. A stream goes on only at the
// version that began it, within an answer and when its caller resumes it.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"
#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/StreamOriginUpdate.h"
#include "LibDispatch/VersionRecord.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

const std::string VersionTable = "figlift-software-versions";
const std::string FirstEvent = "id: 1\ndata: one\n\n";
const std::string SecondEvent = "id: 2\ndata: two\n\n";

/// The value of a field in the head of a request, or an empty string.
std::string field(const std::string &Head, const std::string &Name) {
  const size_t Begin = Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return {};
  const size_t Value = Begin + Name.size() + 4;
  return Head.substr(Value, Head.find("\r\n", Value) - Value);
}

/// An engine whose new streams break off after their first event. It completes
/// streams that are resumed.
RawResponse breakOffNewStreams(const std::string &Head) {
  const bool IsResumed = !field(Head, "Last-Event-Id").empty();
  std::string Bytes =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + field(Head, "X-Attempt-Id") +
      "\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string &Event = IsResumed ? SecondEvent : FirstEvent;
  // 17 bytes.
  Bytes += "11\r\n" + Event + "\r\n";
  if (IsResumed)
    Bytes += "0\r\n\r\n";
  return {Bytes, ConnectionEnd::Close};
}

} // namespace

TEST_GROUP(StreamVersions) {
  GatewayFixture Fixture;
  std::vector<std::unique_ptr<RawServer>> Engines;

  /// Lists "d1", "d2" and so on, of these software versions.
  void startEngines(const std::vector<std::string> &Versions) {
    for (const std::string &Version : Versions)
      listEngine(Version);
    startServing(Versions.size());
  }
  void listEngine(const std::string &Version) {
    Engines.push_back(
        std::make_unique<RawServer>(Fixture.Loop, breakOffNewStreams));
    Fixture.SoftwareVersion = Version;
    Fixture.listServer("d" + std::to_string(Engines.size()), "model",
                       Engines.back()->address(), "decode");
  }
  void restartGateway() {
    Fixture.killGateway();
    Fixture.startGateway();
    CHECK(Fixture.waitUntilReady());
  }
  /// A new stream reaches the engine with this index.
  void waitForStreamAt(size_t Index) {
    unsigned Attempts = 0;
    CHECK(Fixture.waitUntil([&] {
      request("begin" + std::to_string(++Attempts), "");
      return !Engines[Index]->Requests.empty();
    }));
  }
  void startServing(size_t Count) {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    waitForTargets(Count);
  }
  void waitForTargets(size_t Count) {
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " + std::to_string(Count));
    }));
  }
  /// v1 alone is on record before the gateway starts.
  void waitForRecord() {
    if (Fixture.SoftwareVersion != "v1")
      waitForWrite();
  }
  /// The gateway knows its peers by then, and its share of each server.
  void waitForWrite() {
    const std::string Written =
        "figlift_gateway_version_records_written_total ";
    CHECK(Fixture.waitUntil([&] {
      const std::string Metrics = Fixture.metrics();
      return contains(Metrics, Written) && !contains(Metrics, Written + "0");
    }));
  }
  /// Another gateway, which sees the version already, writes it down.
  void recordAsPeer(const std::string &Version) {
    auto Record = dispatch::decodeVersionRecord(
                      Fixture.Store.value(VersionTable, "model"))
                      .value();
    Record.Versions.push_back({Version, milliseconds(15000), std::nullopt});
    Fixture.Store.put(VersionTable, "model",
                      dispatch::encodeVersionRecord(Record));
  }
  /// A request for a stream.
  static std::string text(const std::string &AttemptId,
                          const std::string &Fields) {
    return "GET /stream/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "X-Attempt-Id: " +
           AttemptId + "\r\n" + PromptHeaders + Fields + "\r\n";
  }
  static std::string resumption(const std::string &Beginning) {
    return "Last-Event-Id: 1\r\nResumes: " + Beginning + "\r\n";
  }
  std::string request(const std::string &AttemptId, const std::string &Fields) {
    return Fixture.exchange(Fixture.Settings.Listen.Callers,
                            text(AttemptId, Fields));
  }
  std::string resume(const std::string &AttemptId,
                     const std::string &Beginning) {
    return request(AttemptId, resumption(Beginning));
  }
  /// Index of the only engine that has got a request so far.
  size_t usedEngine() {
    LONGS_EQUAL(1, Engines[0]->Requests.size() + Engines[1]->Requests.size());
    return Engines[0]->Requests.empty() ? 1 : 0;
  }
  size_t requestCount() {
    size_t Count = 0;
    for (const auto &Engine : Engines)
      Count += Engine->Requests.size();
    return Count;
  }
};

// Failure: an engine breaks off, and the rest of the answer comes from an
// engine of another software version.
TEST(StreamVersions, BrokenStreamIsNotResumedAtAnotherVersion) {
  startEngines({"v1", "v2"});
  waitForRecord();
  const std::string Answer = request("a1", "");
  CHECK(contains(Answer, FirstEvent));
  CHECK_FALSE(contains(Answer, SecondEvent));
  CHECK_FALSE(isCompleteStream(Answer));
  LONGS_EQUAL(1, requestCount());
}

// Failure: a silent engine is given up although only engines of another
// software version could go on.
TEST(StreamVersions, SilentEngineIsNotGivenUpForAnotherVersion) {
  unsigned Sends = 0;
  const auto PauseAfterFirstEvent = [&](const proxy::Request &Request,
                                        const Caller &To) {
    ++Sends;
    beginStream(Request, To);
    To->writeStream(FirstEvent);
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        Fixture.Loop, milliseconds(1200));
    Timer->async_wait([Timer, To](const auto &) {
      To->writeStream(SecondEvent);
      To->endStream();
    });
  };
  for (const char *Version : {"v1", "v2"}) {
    Fixture.SoftwareVersion = Version;
    Fixture.addServer(std::string("d") + Version, "model", PauseAfterFirstEvent,
                      "decode");
  }
  startServing(2);
  waitForRecord();
  const std::string Answer = request("a1", "");
  CHECK(contains(Answer, FirstEvent));
  CHECK(contains(Answer, SecondEvent));
  CHECK(isCompleteStream(Answer));
  LONGS_EQUAL(1, Sends);
}

// Failure: a caller resumes a stream, and gets the rest from an engine of
// another software version.
TEST(StreamVersions, CallerResumesAtTheVersionThatBegan) {
  startEngines({"v1", "v2"});
  waitForRecord();
  request("a1", "");
  const size_t Used = usedEngine();
  for (const char *Attempt : {"a2", "a3", "a4"})
    CHECK(isCompleteStream(resume(Attempt, "a1")));
  LONGS_EQUAL(4, Engines[Used]->Requests.size());
  LONGS_EQUAL(0, Engines[1 - Used]->Requests.size());
}

// Failure: a stream whose beginning no gateway knows goes on at any of two
// versions.
TEST(StreamVersions, UnknownBeginningIsRefusedWhileTwoVersionsServe) {
  startEngines({"v1", "v2"});
  for (const std::string &Answer :
       {resume("a2", "elsewhere"), request("a3", "Last-Event-Id: 1\r\n")}) {
    CHECK(contains(Answer, "HTTP/1.1 503"));
    CHECK(contains(Answer, "Retry-After"));
  }
  LONGS_EQUAL(0, requestCount());
}

// Failure: the engines of the version that began a stream have left, and the
// stream goes on at the only version that is still there.
TEST(StreamVersions, UnknownBeginningIsRefusedAfterItsVersionMayHaveLeft) {
  startEngines({"v1", "v2"});
  Fixture.Store.remove("servers", "d1");
  waitForTargets(1);
  CHECK(contains(resume("a2", "elsewhere"), "HTTP/1.1 503"));
  LONGS_EQUAL(0, requestCount());
}

// Failure: streams cannot be resumed although there is one version only.
TEST(StreamVersions, UnknownBeginningGoesOnWhileOneVersionServes) {
  startEngines({"v1", "v1"});
  waitForRecord();
  CHECK(isCompleteStream(resume("a2", "elsewhere")));
  CHECK(isCompleteStream(request("a3", "Last-Event-Id: 1\r\n")));
}

// Failure: all gateways are killed while the last engines of a version leave,
// and its streams go on at the version that is left.
TEST(StreamVersions, VersionThatLeftBeforeTheStartIsRemembered) {
  startEngines({"v1", "v2"});
  waitForRecord();
  Fixture.killGateway();
  Fixture.Store.remove("servers", "d1");
  Fixture.startGateway();
  CHECK(Fixture.waitUntilReady());
  waitForTargets(1);
  CHECK(contains(resume("a2", "elsewhere"), "HTTP/1.1 503"));
  LONGS_EQUAL(0, requestCount());
}

// Failure: all gateways are killed, and streams are refused although there has
// been one version only.
TEST(StreamVersions, OnlyVersionIsKnownAfterAStart) {
  startEngines({"v1", "v1"});
  waitForRecord();
  Fixture.killGateway();
  Fixture.startGateway();
  CHECK(Fixture.waitUntilReady());
  waitForTargets(2);
  CHECK(isCompleteStream(resume("a2", "elsewhere")));
}

// Failure: streams begin at a version that the store's record does not have,
// all gateways are killed, and the streams go on at the only version on record.
TEST(StreamVersions, NoStreamBeginsAtAVersionBeforeItIsRecorded) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.RejectsTransactions = true;
  listEngine("v2");
  waitForTargets(2);
  constexpr unsigned Streams = 8;
  for (unsigned I = 0; I < Streams; ++I)
    CHECK(contains(request("a" + std::to_string(I), ""), FirstEvent));
  LONGS_EQUAL(Streams, Engines[0]->Requests.size());
  LONGS_EQUAL(0, Engines[1]->Requests.size());
  Fixture.Store.remove("servers", "d2");
  restartGateway();
  waitForTargets(1);
  CHECK(isCompleteStream(resume("b1", "a1")));
}

// Failure: new engines get no streams although their version is on record.
TEST(StreamVersions, StreamsBeginAtAVersionOnceItIsRecorded) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.RejectsTransactions = true;
  listEngine("v2");
  waitForTargets(2);
  Fixture.Store.RejectsTransactions = false;
  waitForStreamAt(1);
}

// Failure: streams begin at a version of which nothing that outlives the
// gateways knows, because their service has no record yet.
TEST(StreamVersions, NoStreamBeginsWithoutARecord) {
  startEngines({"v1"});
  Fixture.Store.remove(VersionTable, "model");
  Fixture.Store.RejectsTransactions = true;
  restartGateway();
  waitForTargets(1);
  const std::string Answer = request("a1", "");
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(contains(Answer, "Retry-After"));
  LONGS_EQUAL(0, requestCount());
  Fixture.Store.RejectsTransactions = false;
  waitForStreamAt(0);
}

// Failure: a stream that can begin nowhere waits until its deadline.
TEST(StreamVersions, StreamIsRefusedWhileNoServedVersionIsRecorded) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.RejectsTransactions = true;
  listEngine("v2");
  waitForTargets(2);
  Fixture.Store.remove("servers", "d1");
  waitForTargets(1);
  const std::string Answer = request("a2", "");
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(contains(Answer, "Retry-After"));
  LONGS_EQUAL(0, Engines[1]->Requests.size());
  CHECK(contains(Fixture.metrics(),
                 "figlift_gateway_unrecorded_version_refusals_total"
                 "{service=\"model\"} 1"));
  Fixture.Store.RejectsTransactions = false;
  waitForStreamAt(1);
}

// Failure: a gateway that does not see a new version yet takes up a stream that
// another gateway has begun at it, at the only version that it sees.
TEST(StreamVersions, VersionThatOthersRecordedIsReadFirst) {
  startEngines({"v1"});
  waitForRecord();
  recordAsPeer("v2");
  const std::string Answer = resume("a2", "elsewhere");
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(contains(Answer, "Retry-After"));
  LONGS_EQUAL(0, requestCount());
}

// Failure: a stream is resumed by a record that was read before the store went
// away, or its caller waits until its deadline for the store.
TEST(StreamVersions, UnknownBeginningIsRefusedWhileTheStoreIsDown) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.Unavailable = true;
  const auto Before = std::chrono::steady_clock::now();
  const std::string Answer = resume("a2", "elsewhere");
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(contains(Answer, "Retry-After"));
  CHECK(std::chrono::steady_clock::now() - Before < milliseconds(500));
  LONGS_EQUAL(0, requestCount());
  Fixture.Store.Unavailable = false;
  CHECK(Fixture.waitUntil(
      [&] { return isCompleteStream(resume("a3", "elsewhere")); }));
}

// Failure: a stream whose beginning is known waits for the store.
TEST(StreamVersions, KnownBeginningGoesOnWhileTheStoreIsDown) {
  startEngines({"v1"});
  request("a1", "");
  Fixture.Store.Unavailable = true;
  CHECK(isCompleteStream(resume("a2", "a1")));
}

// Failure: the store is slow, and streams are refused although it answers.
TEST(StreamVersions, UnknownBeginningWaitsForASlowStore) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.Delay = milliseconds(150);
  CHECK(isCompleteStream(resume("a2", "elsewhere")));
}

// Failure: the store rejects writes and serves reads, and streams are refused
// although the record can be read.
TEST(StreamVersions, UnknownBeginningGoesOnWhileWritesFail) {
  startEngines({"v1"});
  waitForRecord();
  CHECK(isCompleteStream(resume("a1", "elsewhere")));
  Fixture.Store.RejectsTransactions = true;
  // Its client waits for longer than the record says.
  request("a2", "X-Deadline-Ms: 60000\r\n");
  const auto End = std::chrono::steady_clock::now() + milliseconds(6000);
  unsigned Served = 0;
  unsigned Refused = 0;
  while (std::chrono::steady_clock::now() < End) {
    // A beginning that has been resumed once is known.
    const std::string Number = std::to_string(Served + Refused);
    const bool IsServed =
        isCompleteStream(resume("b" + Number, "elsewhere" + Number));
    ++(IsServed ? Served : Refused);
    const auto Next = std::chrono::steady_clock::now() + milliseconds(100);
    Fixture.waitUntil([&] { return std::chrono::steady_clock::now() > Next; });
  }
  LONGS_EQUAL(0, Refused);
  CHECK(Served > 0);
}

// Failure: a caller leaves, or its deadline passes, while its stream waits for
// the record, and it is answered twice or never.
TEST(StreamVersions, WaitingForTheRecordEndsWithTheRequest) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.Silent = true;
  {
    KeepAliveCaller Leaving(Fixture);
    Leaving.sendBytes(text("a1", resumption("elsewhere1")));
    const auto Until = std::chrono::steady_clock::now() + milliseconds(100);
    Fixture.waitUntil([&] { return std::chrono::steady_clock::now() > Until; });
  }
  const auto Before = std::chrono::steady_clock::now();
  const std::string Answer =
      request("a2", resumption("elsewhere2") + "X-Deadline-Ms: 300\r\n");
  CHECK(contains(Answer, "HTTP/1.1 50"));
  CHECK(Answer.rfind("HTTP/1.1") == 0);
  CHECK(std::chrono::steady_clock::now() - Before < milliseconds(400));
  Fixture.Store.Silent = false;
  CHECK(Fixture.waitUntil(
      [&] { return isCompleteStream(resume("a3", "elsewhere3")); }));
  for (const std::string &Received : Engines[0]->Requests)
    STRCMP_EQUAL("a3", field(Received, "X-Attempt-Id").c_str());
}

// Guards against: SIGTERM arrives while the beginning of a stream is looked up,
// and the stream begins in a process that ends before it.
TEST(StreamVersions, WaitingForTheRecordEndsWithAStop) {
  startEngines({"v1"});
  waitForRecord();
  Fixture.Store.BytesPerSecond = 10'000'000;
  Fixture.Store.MidResponsePause = milliseconds(400);
  KeepAliveCaller Resuming(Fixture);
  const unsigned Before = Fixture.Store.ReadCounts[VersionTable];
  Resuming.sendBytes(text("a1", resumption("elsewhere")));
  CHECK(Fixture.waitUntil(
      [&] { return Fixture.Store.ReadCounts[VersionTable] > Before; }));
  // Ends before the deadline of the stream.
  Fixture.writeGrace(2);
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil(
      [&] { return Resuming.received(), Resuming.isClosed(); }));
  CHECK(isStoppingRejection(Resuming.received()));
  LONGS_EQUAL(0, requestCount());
}

// Failure: after a kill of all gateways, each of their streams reads the store.
TEST(StreamVersions, StreamsThatReturnAtOnceShareReads) {
  Fixture.Store.remove(VersionTable, "model");
  startEngines({"v1"});
  waitForWrite();
  Fixture.Store.Delay = milliseconds(50);
  const unsigned Before = Fixture.Store.ReadCounts[VersionTable];
  constexpr unsigned Streams = 40;
  std::vector<std::unique_ptr<KeepAliveCaller>> Callers;
  for (unsigned I = 0; I < Streams; ++I) {
    Callers.push_back(std::make_unique<KeepAliveCaller>(Fixture));
    Callers.back()->sendBytes(
        text("b" + std::to_string(I), resumption("elsewhere")));
  }
  CHECK(Fixture.waitUntil([&] {
    return std::all_of(Callers.begin(), Callers.end(), [](const auto &Caller) {
      return isCompleteStream(Caller->received());
    });
  }));
  // One for those that came first, one for the others, and some by the gateway
  // itself.
  CHECK(Fixture.Store.ReadCounts[VersionTable] - Before <= 5);
}

// Failure: a caller waits until its deadline for a version that has left, or
// gets another one.
TEST(StreamVersions, StreamIsRefusedWhenItsVersionHasLeft) {
  startEngines({"v1", "v2"});
  waitForRecord();
  request("a1", "");
  const size_t Used = usedEngine();
  Fixture.Store.remove("servers", "d" + std::to_string(Used + 1));
  waitForTargets(1);
  const auto Before = std::chrono::steady_clock::now();
  CHECK(contains(resume("a2", "a1"), "HTTP/1.1 503"));
  CHECK(std::chrono::steady_clock::now() - Before < milliseconds(500));
  LONGS_EQUAL(1, requestCount());
}

// Failure: a request that names two beginnings is served as either.
TEST(StreamVersions, SeveralBeginningsAreRejected) {
  startEngines({"v1", "v1"});
  CHECK(contains(request("a2", "Last-Event-Id: 1\r\nResumes: a\r\n"
                               "Resumes: b\r\n"),
                 "HTTP/1.1 400"));
  LONGS_EQUAL(0, requestCount());
}

// Failure: the stream began at another gateway, which has been killed since,
// and its caller gets the rest from an engine of another software version.
TEST(StreamVersions, BeginningAtAnotherGatewayIsKnown) {
  using boost::asio::ip::udp;
  const std::string Secret = dispatch::DatagramSeal::newSecret();
  Fixture.Store.put("figlift-gateways", "#secret", Secret);
  startEngines({"v1", "v2"});
  const auto Seal = dispatch::DatagramSeal::fromSecret(Secret).value();
  const Endpoint &To = Fixture.Settings.Listen.Peers;
  udp::socket Peer(Fixture.Loop, udp::v4());
  for (const char *Version : {"v1", "v2"})
    Peer.send_to(boost::asio::buffer(Seal.seal(
                     'V', dispatch::encodeStreamOrigins(
                              {{"model", Version},
                               {dispatch::StreamKey::of("", std::string("of ") +
                                                                Version)}}))),
                 {boost::asio::ip::make_address_v4(To.Address), To.Port});
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_stream_origins 2");
  }));
  for (const char *Attempt : {"a1", "a2", "a3"})
    CHECK(isCompleteStream(resume(Attempt, "of v2")));
  LONGS_EQUAL(0, Engines[0]->Requests.size());
  CHECK(isCompleteStream(resume("a4", "of v1")));
  LONGS_EQUAL(1, Engines[0]->Requests.size());
}
