//===- TestTimelineTool.cpp - figlift-timeline as a process -----*- C++ -*-===//
//
// Runs the program against a listener in this process and against addresses
// that do not respond.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Endpoint.h"
#include "LibTimeline/Timeline.h"

#include "Support/ChildProcess.h"

#include <arpa/inet.h>
#include <cstdio>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::timeline;
using std::chrono::seconds;

namespace {

/// A bound socket. Connections are refused before listen() is called, and wait
/// for a response before respond() is called.
class Port {
public:
  Port() : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Local);
    auto *Address = reinterpret_cast<sockaddr *>(&Local);
    bind(m_Socket, Address, Length);
    getsockname(m_Socket, Address, &Length);
    m_Address = {"127.0.0.1", ntohs(Local.sin_port)};
  }
  ~Port() {
    shutdown(m_Socket, SHUT_RDWR);
    if (m_Responder.joinable())
      m_Responder.join();
    ::close(m_Socket);
  }
  void listen() { ::listen(m_Socket, 8); }
  /// Sends \p Body in response to the first request of every connection.
  void respond(const std::string &Body) {
    listen();
    m_Responder = std::thread([this, Body] {
      for (int Peer; (Peer = accept(m_Socket, nullptr, nullptr)) >= 0;)
        respondOnce(Peer, Body);
    });
  }
  std::string address() const { return m_Address.toString(); }

private:
  static void respondOnce(int Peer, const std::string &Body) {
    std::string Request;
    char Bytes[512];
    while (Request.find("\r\n\r\n") == std::string::npos) {
      ssize_t Count = recv(Peer, Bytes, sizeof(Bytes), 0);
      if (Count <= 0)
        break;
      Request.append(Bytes, static_cast<size_t>(Count));
    }
    bool IsTimelineRequest = Request.starts_with("GET /timeline HTTP/1.1\r\n");
    std::string Response =
        std::string("HTTP/1.1 ") +
        (IsTimelineRequest ? "200 OK" : "404 Not Found") +
        "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    send(Peer, Response.data(), Response.size(), MSG_NOSIGNAL);
    ::close(Peer);
  }

  int m_Socket;
  Endpoint m_Address;
  std::thread m_Responder;
};

} // namespace

TEST_GROUP(TimelineTool) {
  std::string Log = "/tmp/figlift-timeline-test-" + std::to_string(getpid());

  void teardown() override {
    std::remove(Log.c_str());
    std::string().swap(Log);
  }
  int runTool(std::vector<std::string> Arguments, std::string & Output) {
    auto Child =
        test::ChildProcess::start("Utilities/figlift-timeline/figlift-timeline",
                                  std::move(Arguments), Log);
    int Status = Child.waitForExit(seconds(20)).value_or(-1000);
    Output = Child.output();
    return Status;
  }
};

TEST(TimelineTool, ShowsRespondingAndUnreachableProcesses) {
  // Guards against the tool hanging or failing as a whole because one VM is
  // unreachable: one process responds, one refuses connections, and one accepts
  // the connection without responding.
  Timeline Process({"entry-1", "entry", "hall-a", 8, wallNow});
  Process.record(kinds::RequestAccepted, {SubjectType::Request, "r1"});
  Process.record(kinds::RequestAccepted, {SubjectType::Request, "r2"});
  Port Responding, Refusing, Silent;
  Responding.respond(Process.toJson());
  Silent.listen();
  std::string Address = Responding.address();

  std::string Output;
  LONGS_EQUAL(3, runTool({"--from", Address + "," + Refusing.address(),
                          "--from", Silent.address(), "--timeout-ms", "1000",
                          "--follow-request", "r2"},
                         Output));
  STRCMP_CONTAINS("request=r2", Output.c_str());
  CHECK(Output.find("request=r1") == std::string::npos);
  STRCMP_CONTAINS((Refusing.address() + " gave no answer").c_str(),
                  Output.c_str());
  STRCMP_CONTAINS((Silent.address() + " gave no answer").c_str(),
                  Output.c_str());

  LONGS_EQUAL(0, runTool({"--from", Address, "--format", "html"}, Output));
  STRCMP_CONTAINS("<svg", Output.c_str());
  LONGS_EQUAL(1, runTool({"--from", Refusing.address()}, Output));
}

TEST(TimelineTool, RejectsInvalidCommandLine) {
  std::string Output;
  for (const auto &Arguments : std::vector<std::vector<std::string>>{
           {},
           {"--from", "nowhere"},
           {"--from", "127.0.0.1:1", "--format", "pdf"},
           {"--from", "127.0.0.1:1", "--after", "soon"},
           {"--from", "127.0.0.1:1", "extra"},
           {"--form", "127.0.0.1:1"}})
    LONGS_EQUAL(2, runTool(Arguments, Output));
  LONGS_EQUAL(0, runTool({"--version"}, Output));
  STRCMP_CONTAINS("figlift-timeline 0.", Output.c_str());
}
