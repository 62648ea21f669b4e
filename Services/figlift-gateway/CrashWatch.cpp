//===- CrashWatch.cpp - Whether a server ended under a request ------------===//
//
// One connection attempt for each doubt, closed as soon as it stands.
//
//===----------------------------------------------------------------------===//

#include "CrashWatch.h"

#include "LibLog/Log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using dispatch::ServerStart;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Many round trips; a server that does not answer in this time is cut off or
/// without power, which a refusal would have told.
constexpr milliseconds ProbeTimeout{600};
/// A process that is killed may lose its connections before its listener: one
/// that stands then proves nothing, and is tried once more after a pause.
constexpr unsigned ProbeTries = 2;
constexpr milliseconds ProbePause{50};
/// Until the store has dropped a server that ended without refusing anybody.
constexpr milliseconds DoubtLifetime{6000};
/// Sends that broke off this long before their server refused a connection did
/// so with it; earlier ones it cut and lived on.
constexpr milliseconds BrokeWithIt{1000};
/// Some 90 bytes each.
constexpr size_t MostRepeated = 10;

/// A connection attempt, and what ends it.
struct Probe {
  explicit Probe(asio::io_context &Loop) : Socket(Loop), Timer(Loop) {}

  tcp::socket Socket;
  asio::steady_timer Timer;
};

} // namespace

void CrashWatch::useSecret(const std::string &Secret) {
  const auto Made = dispatch::Fingerprinter::fromSecret(Secret);
  if (!Made)
    return log::logError(log::Level::Error, "peer-secret-invalid",
                         Made.error());
  m_Fingerprinter = Made.value();
}

std::optional<dispatch::RequestFingerprint>
CrashWatch::fingerprintOf(const proxy::Request &What) const {
  if (!m_Fingerprinter)
    return std::nullopt;
  const proxy::HeaderList &Fields = What.Head.Headers;
  return m_Fingerprinter->of(
      {What.Head.Method, Fields.find("Host").value_or(""), What.Head.Target,
       Fields.find("Authorization").value_or(""), What.Body});
}

void CrashWatch::brokeOff(const dispatch::RequestFingerprint &What,
                          const dispatch::Target &Which, BootTime Began,
                          BootTime Now) {
  const Doubt::Broken Send{What, Began, Now};
  if (m_Ended.contains(Which.start())) {
    blame(Which.start(), Send, Now);
    return tellFresh(Now);
  }
  Doubt &Of = m_Doubts[Which.start()];
  Of.Sends.push_back(Send);
  if (!std::exchange(Of.Probing, true))
    probe(Which.start(), Which.Address, 1);
}

void CrashWatch::probe(const ServerStart &Which, const Endpoint &Where,
                       unsigned Try) {
  ErrorCode Code;
  const auto Address = asio::ip::make_address_v4(Where.Address, Code);
  if (Code)
    return;
  const auto Each = std::make_shared<Probe>(m_Loop);
  Each->Timer.expires_after(ProbeTimeout);
  Each->Timer.async_wait([Each](const ErrorCode &Stopped) {
    ErrorCode Ignored; // The attempt is given up either way.
    if (!Stopped)
      Each->Socket.close(Ignored);
  });
  Each->Socket.async_connect(
      {Address, Where.Port},
      [this, Each, Which, Where, Try](const ErrorCode &Result) {
        Each->Timer.cancel();
        if (Result == asio::error::connection_refused ||
            Result == asio::error::connection_reset)
          serverEnded(Which, "refuses connections",
                      BootClock::now() - BrokeWithIt);
        else if (!Result)
          probeAgain(Which, Where, Try);
        else if (const auto Of = m_Doubts.find(Which); Of != m_Doubts.end())
          Of->second.Probing = false;
      });
}

void CrashWatch::probeAgain(const ServerStart &Which, const Endpoint &Where,
                            unsigned Try) {
  if (Try == ProbeTries) {
    if (const auto Of = m_Doubts.find(Which); Of != m_Doubts.end())
      Of->second.Probing = false;
    return;
  }
  const auto Timer = std::make_shared<asio::steady_timer>(m_Loop, ProbePause);
  Timer->async_wait([this, Timer, Which, Where, Try](const ErrorCode &Stopped) {
    if (!Stopped)
      probe(Which, Where, Try + 1);
  });
}

CrashWatch::Doubts::iterator CrashWatch::doubtOf(const std::string &TargetId) {
  const auto Found = m_Doubts.lower_bound(ServerStart{TargetId, std::nullopt});
  return Found != m_Doubts.end() && Found->first.TargetId == TargetId
             ? Found
             : m_Doubts.end();
}

void CrashWatch::targetLeaves(const std::string &TargetId) {
  if (const auto Found = doubtOf(TargetId); Found != m_Doubts.end())
    m_Doubts.erase(Found);
}

void CrashWatch::targetGone(const std::string &TargetId) {
  if (const auto Found = doubtOf(TargetId); Found != m_Doubts.end())
    serverEnded(ServerStart(Found->first), "is listed no more",
                BootClock::now() - DoubtLifetime);
}

void CrashWatch::serverEnded(const ServerStart &Which, std::string_view How,
                             BootTime Since) {
  const auto Found = m_Doubts.find(Which);
  if (Found == m_Doubts.end())
    return;
  const BootTime Now = BootClock::now();
  const Doubt Settled = std::move(Found->second);
  m_Doubts.erase(Found);
  m_Ended[Which] = Now;
  ++m_Crashes;
  if (m_Log.allows(LineKind::Belief, Now))
    log::logEvent(log::Level::Info, "server-ended",
                  {{"target", Which.TargetId},
                   {"how", How},
                   {"brokeOff", Settled.Sends.size()}});
  for (const Doubt::Broken &Each : Settled.Sends)
    if (Each.At >= Since)
      blame(Which, Each, Now);
  tellFresh(Now);
}

void CrashWatch::blame(const ServerStart &Server, const Doubt::Broken &Send,
                       BootTime Now) {
  m_Suspects.recordCrash(Send.Request, {Server, Send.Began, Send.At}, Now);
  const auto Age = [&](BootTime At) {
    return std::chrono::duration_cast<milliseconds>(Now - At).count();
  };
  if (m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Info, "request-suspected",
                  {{"fingerprint", Send.Request.toString()},
                   {"target", Server.TargetId},
                   {"sentMsAgo", Age(Send.Began)},
                   {"brokeOffMsAgo", Age(Send.At)},
                   {"evidence", m_Suspects.evidence(Send.Request)},
                   {"crashes", m_Suspects.crashes(Send.Request)}});
}

void CrashWatch::sent(const dispatch::RequestFingerprint &What, BootTime Now) {
  m_Suspects.recordSend(What, Now);
  tellFresh(Now);
}

void CrashWatch::completed(const dispatch::RequestFingerprint &What,
                           BootTime Now) {
  m_Suspects.recordCompletion(What, Now);
  tellFresh(Now);
}

void CrashWatch::tellFresh(BootTime Now) {
  const auto Fresh = m_Suspects.takeChanges(Now);
  if (!Fresh.empty() && m_Tell)
    m_Tell(Fresh);
}

void CrashWatch::heard(const std::vector<dispatch::SuspectUpdate> &News,
                       BootTime Now) {
  for (const dispatch::SuspectUpdate &Each : News) {
    m_Suspects.applyUpdate(Each, Now);
    // Own sends broke off there, too, about when the peer's did.
    for (const dispatch::SuspectUpdate::Crash &Crash : Each.Crashes)
      serverEnded(Crash.Server, "told by a peer",
                  Now - Crash.Age - BrokeWithIt);
  }
}

std::vector<dispatch::SuspectUpdate> CrashWatch::repeats(BootTime Now) {
  return m_Suspects.takeRetransmissions(MostRepeated, Now);
}

void CrashWatch::tick(BootTime Now) {
  for (auto &[Which, Of] : m_Doubts)
    std::erase_if(Of.Sends, [&](const Doubt::Broken &Each) {
      return Now - Each.At > DoubtLifetime;
    });
  std::erase_if(m_Doubts,
                [](const auto &Each) { return Each.second.Sends.empty(); });
  std::erase_if(m_Ended, [&](const auto &Each) {
    return Now - Each.second > DoubtLifetime;
  });
  m_Suspects.expire(Now);
}

} // namespace figlift::gateway
