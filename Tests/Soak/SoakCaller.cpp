//===- SoakCaller.cpp - A caller that never stops -------------------------===//
//
// See SoakCaller.h.
//
//===----------------------------------------------------------------------===//

#include "SoakCaller.h"

#include "SoakServer.h"

#include <boost/asio/write.hpp>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace {
/// Beyond the deadline: answers that come a little late are looked at, too.
constexpr milliseconds Patience{500};
constexpr unsigned CrashesAmongUnsafe = 4;
} // namespace

SoakCaller::SoakCaller(asio::io_context &Loop, PromiseBook &Book, uint64_t Seed,
                       std::string Name, std::vector<Door> Doors,
                       unsigned PromptTokens, CrashingRequests MayCrash)
    : m_Socket(Loop), m_Pause(Loop), m_Patience(Loop), m_Book(Book),
      m_Random(Seed), m_Name(std::move(Name)), m_Doors(std::move(Doors)),
      m_PromptTokens(PromptTokens), m_IgnoresClose(Seed % 2 == 0),
      m_MayCrash(MayCrash == CrashingRequests::Some) {}

unsigned SoakCaller::draw(unsigned From, unsigned To) {
  return std::uniform_int_distribution<unsigned>(From, To)(m_Random);
}

void SoakCaller::pause() {
  m_Idle = true;
  if (m_Stopped)
    return drop();
  // Now and then long enough for a gateway to close what is idle.
  const bool Long = draw(1, 40) == 1;
  m_Pause.expires_after(milliseconds(m_Closing ? 0
                                     : Long    ? draw(500, 3000)
                                               : draw(2, 60)));
  m_Pause.async_wait([this](const ErrorCode &Code) {
    if (!Code)
      next();
  });
}

void SoakCaller::drop() {
  ++m_Exchange;
  m_Connected = false;
  m_Closing = false;
  ErrorCode Ignored; // The connection is given up either way.
  m_Socket.close(Ignored);
}

void SoakCaller::next() {
  m_Idle = false;
  ++m_Exchange;
  leaveAfter(Patience);
  if (!m_Connected || (!m_Closing && draw(1, 20) == 1))
    return connect();
  send();
}

void SoakCaller::leaveAfter(milliseconds Time) {
  m_Patience.expires_after(Time);
  m_Patience.async_wait([this, Exchange = m_Exchange](const ErrorCode &Code) {
    if (Code || Exchange != m_Exchange)
      return;
    drop();
    pause();
  });
}

void SoakCaller::connect() {
  ErrorCode Ignored; // Whatever was there is not needed any more.
  m_Socket.close(Ignored);
  m_Door = draw(0, static_cast<unsigned>(m_Doors.size()) - 1);
  const Endpoint &To = m_Doors[m_Door].Address;
  m_Socket.async_connect({asio::ip::make_address_v4(To.Address), To.Port},
                         [this, Exchange = m_Exchange](const ErrorCode &Code) {
                           if (Exchange != m_Exchange)
                             return;
                           m_Connected = !Code;
                           if (m_Connected)
                             return send();
                           drop();
                           pause();
                         });
}

std::string SoakCaller::requestText() {
  static const std::array<Choice, 6> Choices = {
      {{"/safe/", "plain", Repeatable::Yes, false},
       {"/unsafe/", "plain", Repeatable::No, false},
       {"/moving/", PromiseBook::MovingService, Repeatable::Yes, false},
       {"/stream/", "model", Repeatable::Yes, true},
       {"/once/", "model", Repeatable::No, true},
       {"/long/", "model", Repeatable::No, true, 1000, 9000}}};
  const Choice &Chosen = Choices[draw(0, Choices.size() - 1)];
  // Requests that crash servers come from any caller, again and again.
  const bool Crashes = m_MayCrash && Chosen.Path == "/unsafe/" &&
                       draw(1, CrashesAmongUnsafe) == 1;
  const std::string Crashing =
      Crashes ? fmt::format("{}{}", CrashingPath, draw(1, 2)) : "";
  m_AttemptId = fmt::format("{}-{}", m_Name, ++m_Count);
  m_Events = Chosen.Streams ? draw(1, 30) : 0;
  const milliseconds Deadline(
      draw(Chosen.ShortestDeadlineMs, Chosen.LongestDeadlineMs));
  leaveAfter(Deadline + Patience);
  m_Book.sent({m_AttemptId, m_Doors[m_Door].Gateway, Chosen.Service,
               Chosen.Kind, BootClock::now(), Deadline, Crashing});
  std::string Text =
      fmt::format("{} {}{} HTTP/1.1\r\nHost: h\r\n"
                  "X-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
                  Chosen.Kind == Repeatable::No ? "POST" : "GET", Chosen.Path,
                  Crashes ? Crashing : "x", m_AttemptId, Deadline.count());
  if (Chosen.Streams)
    Text += fmt::format("X-Soak-Events: {}\r\nX-Token-Count: {},{}\r\n"
                        "X-Prompt-Prefix: {:x}:{},{:x}:{}\r\n",
                        m_Events, 2 * m_PromptTokens, m_Events, draw(1, 8),
                        m_PromptTokens, m_Random(), m_PromptTokens);
  if (Chosen.Kind == Repeatable::No)
    Text += "Content-Length: 4\r\n\r\nbody";
  else
    Text += "\r\n";
  return Text;
}

void SoakCaller::send() {
  m_Parser = proxy::ResponseParser();
  m_Body.clear();
  auto Text = std::make_shared<std::string>(requestText());
  asio::async_write(m_Socket, asio::buffer(*Text),
                    [Text](const ErrorCode &, size_t) {
                      // A failure shows when the answer is read.
                    });
  // One in thirty callers leaves before or in the middle of its answer.
  if (draw(1, 30) == 1)
    leaveAfter(milliseconds(draw(1, 60)));
  read();
}

void SoakCaller::read() {
  m_Socket.async_read_some(
      asio::buffer(m_Buffer),
      [this, Exchange = m_Exchange](const ErrorCode &Code, size_t Count) {
        if (Exchange != m_Exchange)
          return;
        if (!Code)
          return received(Count);
        using State = proxy::ResponseParser::State;
        if (Code == asio::error::eof && m_Parser.finish() == State::Complete)
          m_Body += m_Parser.takeBody();
        done(m_Parser.state() == State::Complete ? m_Parser.head().Status : 0);
      });
}

void SoakCaller::received(size_t Count) {
  using State = proxy::ResponseParser::State;
  const State Now = m_Parser.feed({m_Buffer.data(), Count});
  if (Now == State::Body || Now == State::Complete)
    m_Body += m_Parser.takeBody();
  if (Now == State::Failed)
    m_Book.broken("MIXED: " + m_AttemptId + " got bytes that are no response");
  if (Now == State::Complete && m_Parser.hasTrailingBytes())
    m_Book.broken("MIXED: bytes behind the answer to " + m_AttemptId);
  if (Now == State::Complete || Now == State::Failed)
    return done(Now == State::Complete ? m_Parser.head().Status : 0);
  read();
}

void SoakCaller::done(unsigned Status) {
  const bool Signed =
      Status != 0 && m_Parser.head().Headers.has("X-Response-Signature");
  m_Closing = Status != 0 && !m_Parser.keepsAlive();
  m_Book.ended({m_AttemptId, Status, Signed, m_Body, m_Events},
               BootClock::now());
  m_Patience.cancel();
  if (Status == 0 || (m_Closing && !m_IgnoresClose))
    drop();
  pause();
}

} // namespace figlift::soak
