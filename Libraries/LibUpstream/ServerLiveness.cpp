//===- ServerLiveness.cpp - Whether a server runs after an answer
//----------===//
//
// One series of probes answers all that have asked before it began.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ServerLiveness.h"

#include "LibLog/Guard.h"
#include "LibUpstream/ServerConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace figlift::upstream {

using std::chrono::milliseconds;

namespace {

/// The first is several times the longest round trip (40 ms between regions),
/// the last what a request waits for its connection. A packet may be lost, and
/// a server may have too many connections.
constexpr std::array<milliseconds, 3> ProbeTimeouts{
    milliseconds(200), milliseconds(400), milliseconds(600)};
/// A process that ends closes its connections and its listener within this time
/// of each other.
constexpr milliseconds EndOfProcess{30};
/// Also covers a proxy that needs a round trip to find that its server is gone.
constexpr milliseconds ProbeHold{60};
constexpr milliseconds ProbePause{30};
/// An address may have another process after this time, so that one that
/// listens there says nothing about the one before.
constexpr milliseconds MaximumUnseen{500};
constexpr size_t MaximumLosses = 64;

} // namespace

std::string_view describe(ServerState State) {
  switch (State) {
  case ServerState::Running:
    return "running";
  case ServerState::Ended:
    return "ended";
  case ServerState::Unknown:
    return "unknown";
  }
  return "unknown";
}

ServerLiveness::ServerLiveness(boost::asio::io_context &Loop, Endpoint Server,
                               std::function<BootTime()> LastAwake)
    : m_Loop(Loop), m_Server(std::move(Server)),
      m_LastAwake(std::move(LastAwake)) {}

BootTime ServerLiveness::lastAwake() const {
  return m_LastAwake ? m_LastAwake() : BootClock::now();
}

void ServerLiveness::connectionOpened(ServerConnection &Connection) {
  m_Open[Connection.id()] = {&Connection, BootClock::now()};
}

void ServerLiveness::connectionClosed(ConnectionId Connection) {
  m_Open.erase(Connection);
}

void ServerLiveness::connectionLost(ConnectionId Connection, BootTime Since) {
  if (m_Losses.size() >= MaximumLosses)
    m_Losses.pop_front();
  m_Losses.push_back({Connection, Since, BootClock::now()});
}

void ServerLiveness::check(const AnswerEnd &End, Callback Done) {
  m_Waiting.push_back({End, BootClock::now(), std::move(Done)});
  if (!m_IsProbing)
    startProbes();
}

void ServerLiveness::startProbes() {
  m_Asked = std::exchange(m_Waiting, {});
  m_Probes = 0;
  m_IsProbing = true;
  guardedProbe();
}

void ServerLiveness::guardedProbe() {
  if (!log::guarded("probe of a server", m_Server.toString(),
                    [this] { probe(); }))
    end(ProbeResult::NoAnswer);
}

void ServerLiveness::probe() {
  m_ProbedAt = BootClock::now();
  probeServer(m_Loop, m_Server, {ProbeTimeouts[m_Probes++], ProbeHold},
              [Self = shared_from_this()](ProbeResult Result) {
                Self->probed(Result);
              });
}

void ServerLiveness::probed(ProbeResult Result) {
  const bool IsAnswer =
      Result == ProbeResult::Accepted || Result == ProbeResult::Refused;
  if (IsAnswer || m_Probes == ProbeTimeouts.size())
    return end(Result);
  probeAgain();
}

void ServerLiveness::probeAgain() {
  const auto Pause =
      std::make_shared<boost::asio::steady_timer>(m_Loop, ProbePause);
  Pause->async_wait([Self = shared_from_this(), Pause](const auto &Stopped) {
    if (!Stopped)
      Self->guardedProbe();
  });
}

void ServerLiveness::end(ProbeResult Result) {
  for (const Question &Asked : std::exchange(m_Asked, {}))
    log::guarded("end of an answer", m_Server.toString(),
                 [&] { Asked.Done(judge(Asked, Result)); });
  m_IsProbing = false;
  if (!m_Waiting.empty())
    startProbes();
}

LivenessResult ServerLiveness::judge(const Question &Asked,
                                     ProbeResult Result) {
  LivenessResult Judged;
  Judged.Probes = m_Probes;
  Judged.Took = std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                         Asked.AskedAt);
  countOthers(Asked, Judged);
  decide(Asked, Result, Judged);
  return Judged;
}

/// After a delay of the loop, all that ended meanwhile is found together.
void ServerLiveness::countOthers(const Question &Asked,
                                 LivenessResult &Judged) const {
  for (const auto &[Id, Other] : m_Open) {
    // What a slow caller keeps from being read may have ended long ago.
    if (Other.Since >= Asked.End.OpenAt || Other.Connection->isBehind())
      continue;
    ++(Other.Connection->hasPeerEnded() ? Judged.OthersEnded
                                        : Judged.OthersOpen);
  }
  Judged.OthersEnded += static_cast<size_t>(
      std::count_if(m_Losses.begin(), m_Losses.end(), [&](const Loss &Lost) {
        return Lost.Connection != Asked.End.Connection &&
               Lost.Since < Asked.AskedAt &&
               Lost.FoundAt >= Asked.AskedAt - EndOfProcess &&
               Lost.FoundAt <= m_ProbedAt + ProbeHold;
      }));
}

void ServerLiveness::decide(const Question &Asked, ProbeResult Probed,
                            LivenessResult &Judged) const {
  Judged.Reason = describe(Probed);
  const bool AllEnded = Judged.OthersOpen == 0 && Judged.OthersEnded > 0;
  if (Probed == ProbeResult::Refused) {
    Judged.State = ServerState::Ended;
  } else if (Probed == ProbeResult::Accepted && AllEnded) {
    Judged.State = ServerState::Ended;
    Judged.Reason = "all its connections ended";
  } else if (Probed == ProbeResult::Accepted &&
             m_ProbedAt - Asked.End.OpenAt > MaximumUnseen &&
             Judged.OthersOpen == 0) {
    Judged.Reason = "accepts connections, but the end was found late";
  } else if (Probed == ProbeResult::Accepted) {
    Judged.State = ServerState::Running;
  } else if (Probed == ProbeResult::Closed && Judged.OthersOpen > 0 &&
             Judged.OthersEnded == 0) {
    Judged.State = ServerState::Running;
    Judged.Reason = "its other connections are open";
  }
}

} // namespace figlift::upstream
