//===- CrashWatch.h - Whether a server ended under a request ----*- C++ -*-===//
//
// An answer that breaks off is an everyday failure: servers cut some, links
// reset some. A crash is a server that has ended, and that mostly shows at
// once: its address refuses connections. So after a send that broke off its
// server is asked for a connection, once for all sends that broke off together.
// Where something else takes connections in its place, the store's list tells
// seconds later: the server is gone, and had not said that it leaves. What is
// found goes into CrashSuspects, which decides, and to the peers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibCore/Clock.h"
#include "LibDispatch/CrashSuspects.h"
#include "LibProxy/RequestParser.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

class CrashWatch {
public:
  using Teller =
      std::function<void(const std::vector<dispatch::SuspectUpdate> &)>;

  CrashWatch(boost::asio::io_context &Loop, DecisionLog &Log)
      : m_Loop(Loop), m_Log(Log) {}

  /// Called with what peers are to know at once.
  void onNews(Teller Tell) { m_Tell = std::move(Tell); }

  /// Fingerprints are made with the fleet's secret from now on.
  void useSecret(const std::string &Secret);
  /// Absent while the secret is not known.
  std::optional<dispatch::RequestFingerprint>
  fingerprintOf(const proxy::Request &What) const;

  const dispatch::CrashSuspects &suspects() const { return m_Suspects; }
  void countHeldBack() { ++m_HeldBack; }
  /// The request is being sent to a server.
  void sent(const dispatch::RequestFingerprint &What, BootTime Now);
  /// Whether a crash may become known for which it matters what runs came to
  /// their end since.
  bool wantsCompletions() const {
    return !m_Doubts.empty() || !m_Suspects.empty();
  }
  /// A server has run it to an end, and goes on.
  void completed(const dispatch::RequestFingerprint &What, BootTime Now);
  /// A send of \p What to \p Which that began at \p Began broke off.
  void brokeOff(const dispatch::RequestFingerprint &What,
                const dispatch::Target &Which, BootTime Began, BootTime Now);
  /// The target leaves by plan: what it cuts then is no crash.
  void targetLeaves(const std::string &TargetId);
  /// The store lists the target, or this start of it, no more.
  void targetGone(const std::string &TargetId);
  void tick(BootTime Now);

  void heard(const std::vector<dispatch::SuspectUpdate> &News, BootTime Now);
  /// News that peers may have missed.
  std::vector<dispatch::SuspectUpdate> repeats(BootTime Now);

  /// Servers that have ended under a request.
  uint64_t crashes() const { return m_Crashes; }
  uint64_t heldBack() const { return m_HeldBack; }

private:
  /// Sends that broke off at one start of a server, while it may turn out that
  /// it has ended.
  struct Doubt {
    struct Broken {
      dispatch::RequestFingerprint Request;
      BootTime Began{};
      BootTime At{};
    };
    bool Probing = false;
    std::vector<Broken> Sends;
  };
  using Doubts = std::map<dispatch::ServerStart, Doubt>;

  Doubts::iterator doubtOf(const std::string &TargetId);
  void probe(const dispatch::ServerStart &Which, const Endpoint &Where,
             unsigned Try);
  void probeAgain(const dispatch::ServerStart &Which, const Endpoint &Where,
                  unsigned Try);
  /// What broke off from \p Since on did so with it.
  void serverEnded(const dispatch::ServerStart &Which, std::string_view How,
                   BootTime Since);
  void blame(const dispatch::ServerStart &Server, const Doubt::Broken &Send,
             BootTime Now);
  void tellFresh(BootTime Now);

  boost::asio::io_context &m_Loop;
  DecisionLog &m_Log;
  Teller m_Tell;
  std::optional<dispatch::Fingerprinter> m_Fingerprinter;
  dispatch::CrashSuspects m_Suspects;
  Doubts m_Doubts;
  /// Starts that have ended, and since when that is known: the ends of their
  /// other sends come in behind.
  std::map<dispatch::ServerStart, BootTime> m_Ended;
  uint64_t m_Crashes = 0;
  uint64_t m_HeldBack = 0;
};

} // namespace figlift::gateway
