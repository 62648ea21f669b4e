//===- DrawnCaller.cpp - A caller that draws its requests -----------------===//
//
// See DrawnCaller.h.
//
//===----------------------------------------------------------------------===//

#include "DrawnCaller.h"

#include <boost/asio/write.hpp>

namespace figlift::testing {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

struct DrawnRoute {
  const char *Prefix;
  Repeats Kind;
  /// As in the configuration of GatewayFixture.
  unsigned MaximumRuns;
  bool HasPrompt;
};

constexpr std::array Routes = {
    DrawnRoute{"/unsafe/", Repeats::Once, 1, false},
    DrawnRoute{"/unsafe/", Repeats::Once, 1, false},
    DrawnRoute{"/safe/", Repeats::Allowed, 2, false},
    DrawnRoute{"/once/", Repeats::Once, 2, true},
    DrawnRoute{"/stream/", Repeats::Allowed, 2, true}};

} // namespace

DrawnCaller::DrawnCaller(asio::io_context &Loop, RunLedger &Ledger,
                         uint64_t Seed, std::string Name, Endpoint Gateway,
                         unsigned Requests)
    : m_Socket(Loop), m_Pause(Loop), m_Ledger(Ledger), m_Random(Seed),
      m_Name(std::move(Name)), m_Gateway(std::move(Gateway)),
      m_Requests(Requests) {}

void DrawnCaller::start() { send(); }

std::string DrawnCaller::drawRequest() {
  const DrawnRoute &Route = Routes[m_Random() % Routes.size()];
  m_AttemptId = m_Name + "-" + std::to_string(m_Sent);
  m_Ledger.recordRequest(m_AttemptId, Route.Kind, Route.MaximumRuns);
  std::string Text = "POST " + std::string(Route.Prefix) +
                     "x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + m_AttemptId +
                     "\r\nX-Deadline-Ms: 200\r\nContent-Length: 0\r\n";
  // Long prompts are read by an engine of the other stage first.
  const bool IsLong = m_Random() % 2 == 0;
  if (Route.HasPrompt)
    Text += "X-Token-Count: " + std::string(IsLong ? "4000" : "200") +
            ",8\r\nX-Prompt-Prefix: " + (IsLong ? "a1:2000," : "a2:100,") +
            std::to_string(100000 + m_Random() % 900000) + ":" +
            (IsLong ? "2000" : "100") + "\r\n";
  return Text + "\r\n";
}

void DrawnCaller::send() {
  if (m_Sent == m_Requests) {
    m_IsBusy = false;
    return;
  }
  m_IsBusy = true;
  ErrorCode Code;
  if (!m_Socket.is_open())
    m_Socket.connect(
        {asio::ip::make_address_v4(m_Gateway.Address), m_Gateway.Port}, Code);
  m_Output = drawRequest();
  ++m_Sent;
  m_Parser = proxy::ResponseParser();
  m_Body.clear();
  asio::async_write(m_Socket, asio::buffer(m_Output),
                    [](const ErrorCode &, size_t) {
                      // A failure also fails the read.
                    });
  read();
}

void DrawnCaller::read() {
  m_Socket.async_read_some(
      asio::buffer(m_Buffer), [this](const ErrorCode &Code, size_t Count) {
        using State = proxy::ResponseParser::State;
        if (Code)
          return finish(0);
        const State Progress = m_Parser.feed({m_Buffer.data(), Count});
        if (Progress == State::Body || Progress == State::Complete)
          m_Body += m_Parser.takeBody();
        if (Progress == State::Complete)
          return finish(m_Parser.head().Status);
        if (Progress == State::Failed)
          return finish(0);
        read();
      });
}

void DrawnCaller::finish(unsigned Status) {
  m_Ledger.recordAnswer(m_AttemptId, Status, m_Body);
  if (Status == 0 || !m_Parser.keepsAlive()) {
    ErrorCode Ignored; // The connection is no longer used.
    m_Socket.close(Ignored);
  }
  m_Pause.expires_after(Status == 503
                            ? std::chrono::milliseconds(m_Random() % 50)
                            : std::chrono::milliseconds(0));
  m_Pause.async_wait([this](const ErrorCode &) { send(); });
}

} // namespace figlift::testing
