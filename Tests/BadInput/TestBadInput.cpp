//===- TestBadInput.cpp - Bad input on every socket -----------------------===//
//
// Callers' port and peer port of an entry, peer port and admin port of an
// agent. After each test the same processes serve a good request that was
// begun before the bad ones, none of them has ended, and their memory has not
// grown by more than a bound.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Endpoint.h"
#include "LibWire/Messages.pb.h"
#include "LibWire/WireFixtures.h"
#include "Support/FullService.h"
#include "Support/WaitUntil.h"

#include <fstream>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::test::RawSocket;

namespace {

constexpr seconds Limit{20};
/// What a process may hold after the bad input is gone: allocator slack and
/// the buffers of its threads, far below what the tests send.
constexpr size_t MaximumGrowth = 96u << 20;
constexpr size_t Mebibyte = 1u << 20;

size_t residentBytes(ChildProcess &Of) {
  std::ifstream Status("/proc/" + std::to_string(Of.pid()) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
  return 0;
}

const std::vector<std::string> &processes() {
  static const std::vector<std::string> Names{"entry-1", "entry-2", "lm-desk-1",
                                              "booking-core-1"};
  return Names;
}

Endpoint endpoint(const std::string &Address) {
  return Endpoint::parse(Address).value();
}

std::string httpRequest(const std::string &Path, const std::string &Body,
                        const std::string &Headers = {}) {
  return "POST " + Path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Headers + "\r\n" + Body;
}

} // namespace

TEST_GROUP(BadInput) {
  static std::unique_ptr<Fleet> &shared() {
    static std::unique_ptr<Fleet> Shared;
    return Shared;
  }
  std::unique_ptr<Fleet> m_Fleet;
  std::map<std::string, size_t> m_Before;
  std::thread m_Good;
  Answer m_GoodAnswer;
  std::atomic<bool> m_Streaming{false};
  static constexpr const char *GoodPrompt = "a good request meanwhile";
  static constexpr unsigned GoodTokens = 250;

  void setup() override {
    if (!shared()) {
      FleetOptions Options = smallFleet();
      for (TargetOptions &Target : Options.Targets)
        if (Target.IsEngine)
          Target.StandInFlags = {"--decode-step", "10ms"};
      Options.AgentSettings = {{"limits", {{"heldAnswerTime", "2s"}}}};
      shared() = std::make_unique<Fleet>(std::move(Options));
    }
    m_Fleet = std::move(shared());
    CHECK_TEXT(m_Fleet->ready(), m_Fleet->problem().c_str());
    for (const std::string &Name : processes())
      m_Before[Name] = residentBytes(m_Fleet->process(Name));
    m_Good = std::thread([this] {
      m_GoodAnswer =
          call(m_Fleet->callers("entry-1"), "POST", "/v1/completions",
               completionBody("desk", GoodPrompt, GoodTokens), {}, Limit,
               [&](size_t) { m_Streaming = true; });
      m_Streaming = true;
    });
    waitUntil(Limit, [&] { return m_Streaming.load(); });
  }

  void teardown() override {
    if (!m_Good.joinable())
      return;
    m_Good.join();
    CHECK_EQUAL(expectedText(GoodPrompt, GoodTokens),
                m_GoodAnswer.streamedText());
    for (const std::string &Name : processes())
      CHECK_TEXT(m_Fleet->process(Name).running(), (Name + " ended").c_str());
    const std::string Problem = fullServiceProblem(*m_Fleet);
    CHECK_TEXT(Problem.empty(), Problem.c_str());
    for (const std::string &Name : processes()) {
      const size_t Now = residentBytes(m_Fleet->process(Name));
      CHECK_TEXT(Now < m_Before[Name] + MaximumGrowth,
                 (Name + " grew from " + std::to_string(m_Before[Name]) +
                  " to " + std::to_string(Now))
                     .c_str());
    }
    shared() = std::move(m_Fleet);
  }

  std::string peerOf(const std::string &Id) {
    const auto List = m_Fleet->getJson(m_Fleet->platform(), "/v1/vms");
    for (const nlohmann::json &Vm : List["vms"])
      if (Vm["id"] == Id)
        return Vm["peer"];
    return {};
  }

  /// Peer ports: the fault proxy passes them on byte for byte.
  std::vector<Endpoint> peerPorts() {
    return {endpoint(peerOf("entry-1")), endpoint(peerOf("lm-desk-1")),
            endpoint(peerOf("booking-core-1"))};
  }
  std::vector<Endpoint> httpPorts() {
    return {endpoint(m_Fleet->callers("entry-1")),
            endpoint(m_Fleet->admin("lm-desk-1"))};
  }

  /// The call is refused as the caller's fault and the answer names Field.
  void expectNamed(const std::string &Path, const std::string &Body,
                   const std::string &Field, const Headers &Extra = {}) {
    const Answer Got =
        call(m_Fleet->callers("entry-1"), "POST", Path, Body, Extra, Limit);
    const std::string Text = Body.substr(0, 120) + " gave " +
                             std::to_string(Got.Status) + " " +
                             Got.Body.substr(0, 400);
    CHECK_TEXT(Got.Status >= 400 && Got.Status < 500, Text.c_str());
    CHECK_TEXT(Got.Body.find(Field) != std::string::npos, Text.c_str());
    CHECK_EQUAL_TEXT("not-run", Got.executed(), Text.c_str());
  }
};

/// The same scene; an entry of its own in ctest.
TEST_GROUP_BASE(EndlessInput, TEST_GROUP_CppUTestGroupBadInput){};

TEST(BadInput, CompletionsNameTheField) {
  // Symptom: an absurd number becomes a huge or a negative amount of work.
  // Sequence: counts outside of any range, of another type, or not JSON at
  // all. Cause: a conversion that nobody checks.
  for (const char *Tokens :
       {"-1", "0", "9223372036854775808", "18446744073709551616", "1e300",
        "1.5", "\"12\"", "[]", "{}", "true", "1048577"})
    expectNamed("/v1/completions",
                std::string(R"({"model":"desk","prompt":"x","max_tokens":)") +
                    Tokens + "}",
                "max_tokens");
  const struct {
    const char *Body;
    const char *Field;
  } Cases[] = {
      {R"({"model":"desk","max_tokens":1})", "prompt"},
      {R"({"model":"desk","prompt":7})", "prompt"},
      {R"({"model":"desk","prompt":[1,2]})", "prompt"},
      {R"({"prompt":"x"})", "model"},
      {R"({"model":null,"prompt":"x"})", "model"},
      {R"({"model":"no such","prompt":"x"})", "model"},
      {R"({"model":"nobody/desk","prompt":"x"})", "model"},
      {R"({"model":"desk","prompt":"x","stream":"yes"})", "stream"},
      {R"({"model":"desk","prompt":"x","n":2})", "\"n\""},
      {R"([])", "body"},
      {R"("text")", "body"},
      {R"({"model":"desk","prompt":"x")", "body"},
      {"{\"model\":\"desk\",\"prompt\":\"\xff\xfe\"}", "body"},
      {"\x01\x02\x03", "body"},
  };
  for (const auto &[Body, Field] : Cases)
    expectNamed("/v1/completions", Body, Field);
  for (const char *Messages :
       {"[]", "{}", "[1]", R"([{"role":"user"}])",
        R"([{"role":1,"content":"x"}])",
        R"([{"role":"user","content":[{"type":"image"}]}])"})
    expectNamed("/v1/chat/completions",
                std::string(R"({"model":"desk","messages":)") + Messages + "}",
                "");
}

TEST(EndlessInput, DeepJsonIsRefused) {
  // Symptom: the process dies of stack exhaustion. Sequence: a body of nothing
  // but brackets. Cause: recursion without a bound, in parsing or destruction.
  for (const size_t Depth : {size_t(2000), size_t(200000), size_t(2000000)}) {
    const std::string Open(Depth, '[');
    const std::string Closed = Open + std::string(Depth, ']');
    expectNamed("/v1/completions", Open, "");
    expectNamed("/v1/completions", Closed, "");
    expectNamed("/v1/completions",
                R"({"model":"desk","prompt":"x","tools":)" + Closed + "}", "");
  }
}

TEST(BadInput, OperatorsBodiesAreRefused) {
  const std::string Deep = std::string(300000, '[') + std::string(300000, ']');
  const std::string Bodies[] = {"",
                                "{",
                                "[]",
                                "\xff\xff",
                                Deep,
                                R"({"records":7})",
                                R"({"operationId":7,"changes":[]})",
                                R"({"changes":[{"text":1}]})"};
  for (const char *Path :
       {"/operator/v1/apply", "/operator/v1/records",
        "/operator/v1/records/backEnd/x", "/operator/v1/records/../../etc"})
    for (const char *Method : {"POST", "PUT", "DELETE"})
      for (const std::string &Body : Bodies) {
        const Answer Got =
            call(m_Fleet->callers("entry-1"), Method, Path, Body, {}, Limit);
        CHECK_TEXT(Got.Status >= 400 && Got.Status < 500,
                   (std::string(Method) + " " + Path + " " +
                    Body.substr(0, 60) + " gave " + std::to_string(Got.Status) +
                    " " + Got.Body.substr(0, 300))
                       .c_str());
      }
}

TEST(BadInput, PathTricksReachNoTarget) {
  // Symptom: a call that must not be repeated is sent as one that may.
  // Sequence: a path that the target reads as another one. Cause: two readings
  // of one path.
  for (const char *Path :
       {"/v1/services/booking-core/x/../slots/1",
        "/v1/services/booking-core//slots", "/v1/services/booking-core/./slots",
        "/v1/services/booking-core/%2e%2e/slots",
        "/v1/services/booking-core/a%2fslots", "/v1/services/../operator/v1",
        "/v1/services/booking-core/slots;x", "/v1/services/%00/slots",
        "/v1/services/booking-core/slots%00", "/v1/services/",
        "/v1/services//slots", "/v1/services/lm-desk/slots"}) {
    RawSocket Peer(endpoint(m_Fleet->callers("entry-1")));
    CHECK_TRUE(Peer.write(httpRequest(Path, "{}", "Connection: close\r\n")));
    Peer.closedByPeer();
    CHECK_TEXT(
        Peer.unread().starts_with("HTTP/1.1 4"),
        (std::string(Path) + " gave " + Peer.unread().substr(0, 200)).c_str());
  }
}

TEST(BadInput, HeadersOfCallersAreChecked) {
  const std::string Body = completionBody("desk", "x", 1);
  for (const char *Deadline :
       {"-1s", "0s", "abc", "99999999999999999999h", "5", "2h", "1e9s"})
    expectNamed("/v1/completions", Body, "X-Figlift-Deadline",
                {{"X-Figlift-Deadline", Deadline}});
  expectNamed("/v1/completions", Body, "X-Figlift-Workspace",
              {{"X-Figlift-Workspace", "no such"}});
  expectNamed("/v1/services/booking-core/slots", "{}", "Idempotency-Key",
              {{"Idempotency-Key", std::string(5000, 'k')}});
}

TEST(BadInput, OversizedBodiesAreRefusedAndNotKept) {
  // Symptom: the process grows with what is sent to it. Sequence: bodies over
  // the limit, announced and chunked, at both HTTP listeners. Cause: the body
  // is kept before its size is looked at.
  const std::string Piece(Mebibyte, 'x');
  for (const Endpoint &Port : httpPorts())
    for (int Round = 0; Round < 4; ++Round) {
      RawSocket Announced(Port);
      Announced.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                      "Content-Length: 10000000000\r\n\r\n");
      for (int Sent = 0; Sent < 24 && Announced.write(Piece); ++Sent)
        ;
      RawSocket Chunked(Port);
      Chunked.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
      for (int Sent = 0;
           Sent < 24 && Chunked.write("100000\r\n" + Piece + "\r\n"); ++Sent)
        ;
    }
}

TEST(EndlessInput, HeadersAreNotKept) {
  // Symptom: the process grows with what is sent to it. Sequence: a header
  // line, or a request line, that has no end. Cause: the head of a request is
  // gathered without a bound.
  const std::string Piece(Mebibyte, 'x');
  for (const Endpoint &Port : httpPorts()) {
    std::vector<std::unique_ptr<RawSocket>> Open;
    for (int Each = 0; Each < 8; ++Each) {
      Open.push_back(std::make_unique<RawSocket>(Port));
      Open.back()->write(
          Each % 2 ? "GET /" : "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: ");
      for (int Sent = 0; Sent < 24 && Open.back()->write(Piece); ++Sent)
        ;
    }
  }
}

TEST(EndlessInput, DeepJsonIsNotBuilt) {
  // Symptom: the process grows by a hundred megabytes. Sequence: bodies of
  // nothing but brackets, within the limit for bodies, to callers' and
  // operators' paths. Cause: a parser keeps a record for each open bracket.
  for (const char *Path : {"/v1/completions", "/v1/chat/completions"})
    for (const char *Bracket : {"[", "{\"a\":"}) {
      std::string Body;
      while (Body.size() < 2 * Mebibyte)
        Body += Bracket;
      expectNamed(Path, Body, "body");
    }
}

TEST(BadInput, GarbageOnHttpListenersEndsTheConnection) {
  for (const Endpoint &Port : httpPorts())
    for (const std::string &Bytes :
         {std::string(4096, '\xff'), std::string("GET\r\n\r\n"),
          std::string("POST / HTTP/9.9\r\n\r\n"),
          std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: -5"
                      "\r\n\r\n"),
          std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: 99"
                      "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
          wire::test::preface()}) {
      RawSocket Peer(Port);
      Peer.write(Bytes);
    }
}

TEST(BadInput, TruncatedAndSlowCallersHoldNothing) {
  // Symptom: memory or threads are held by callers that never finish.
  // Sequence: many connections that stop in mid-request and stay open. Cause:
  // a thread for each connection, or none left for the good ones.
  std::vector<std::unique_ptr<RawSocket>> Idle;
  for (const Endpoint &Port : httpPorts())
    for (int Each = 0; Each < 100; ++Each) {
      Idle.push_back(std::make_unique<RawSocket>(Port));
      Idle.back()->write(Each % 2 ? "POST /v1/compl"
                                  : "POST /v1/completions HTTP/1.1\r\n"
                                    "Host: x\r\nContent-Length: 500\r\n\r\n{");
    }
  const Answer Got =
      call(m_Fleet->callers("entry-1"), "POST", "/v1/completions",
           completionBody("desk", "ok", 3), {}, Limit);
  CHECK_EQUAL(expectedText("ok", 3), Got.streamedText());
  CHECK_EQUAL(200, call(m_Fleet->admin("lm-desk-1"), "GET", "/status").Status);
}

TEST(BadInput, GarbageOnPeerPortsClosesTheConnection) {
  // Symptom: a process dies or grows by what a stranger sends to its peer
  // port. Sequence: other protocols, frames that are cut short, absurd sizes.
  // Cause: trust in the peer.
  using namespace wire::test;
  const std::string Start = preface() + requestHeaders(1);
  for (const Endpoint &Port : peerPorts())
    for (const std::string &Bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(65536, '\xff'),
          std::string(65536, '\0'), Start + std::string(4096, '\xff'),
          Start + frame(0, 0, 0, "x"), Start + frame(9, 4, 77, "abc")}) {
      RawSocket Peer(Port);
      Peer.write(Bytes);
      CHECK_TRUE(Peer.closedByPeer());
    }
  for (const Endpoint &Port : peerPorts()) {
    // Frames that end in the middle; the socket is closed at once.
    for (size_t Cut = 1; Cut < Start.size(); Cut += 3) {
      RawSocket Peer(Port);
      Peer.write(Start.substr(0, Cut));
    }
    RawSocket Huge(Port);
    Huge.write(Start + frame(0, 0, 1, std::string("\x7f\xff\xff\xff", 4)));
  }
}

TEST(BadInput, MessagesOfPeersAreChecked) {
  // Symptom: a process dies of a message that only a faulty peer sends.
  // Sequence: bytes that are no message, empty messages, absurd counts. Cause:
  // fields of a peer are used as they are.
  wire::RunRequest Absurd;
  Absurd.set_request_id(std::string(100000, 'r'));
  Absurd.set_attempt_id("\xff\xfe");
  Absurd.set_revision(UINT64_MAX);
  Absurd.set_service_class(UINT32_MAX);
  Absurd.set_deadline_milliseconds(UINT64_MAX);
  Absurd.set_slice_epoch(UINT64_MAX);
  auto *Work = Absurd.mutable_completion();
  Work->set_model("../../desk");
  Work->set_prompt(std::string(1000, '\xff'));
  Work->set_prompt_tokens(UINT32_MAX);
  Work->set_maximum_tokens(UINT32_MAX);
  Work->set_first_token(UINT32_MAX);
  Work->set_kv_handle("\r\n\r\n");
  wire::RunRequest Call = Absurd;
  auto *Service = Call.mutable_service_call();
  Service->set_method("BAD METHOD\r\nX: y");
  Service->set_path("/../\r\nInjected: yes");
  Service->set_body(std::string(1000, '\0'));
  wire::RunRequest Keyed = Call;
  Keyed.set_idempotency_key(std::string(100000, '\xff'));
  const std::string Messages[] = {
      "",
      std::string(1000, '\xff'),
      std::string(64, '\x0a'),
      Absurd.SerializeAsString(),
      Call.SerializeAsString(),
      Keyed.SerializeAsString(),
      Absurd.SerializeAsString().substr(0, 100),
  };
  wire::ClientOptions Options;
  auto Client = wire::test::makeClient(Options);
  for (const Endpoint &Port : peerPorts()) {
    auto Channel = wire::test::connectedChannel(*Client, Port);
    for (auto Method :
         {wire::Method::Run, wire::Method::Resume, wire::Method::Order,
          wire::Method::Sync, wire::Method::Drain, wire::Method::Handover,
          wire::Method::Configuration})
      for (const std::string &Message : Messages) {
        auto Listener = std::make_shared<wire::test::StreamRecorder>();
        auto Stream = Channel->open(Method, Message, Listener);
        // A stream that was taken for good ends with its sender.
        Listener->end(milliseconds(100));
        if (Stream)
          Stream->cancel();
      }
    Channel->close();
  }
}
