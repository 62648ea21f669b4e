//===- CrashWatch.h - Whether a server ended under a request ----*- C++ -*-===//
//
// An answer that breaks off is an everyday failure: servers cut some, links
// reset some. A crash is a server that has ended, and that shows at once: its
// address refuses connections. So after a send that broke off its server is
// asked for a connection, once for all sends that broke off together.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibCore/Clock.h"
#include "LibDispatch/RequestFingerprint.h"
#include "LibDispatch/Target.h"
#include "LibProxy/RequestParser.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

class CrashWatch {
public:
  CrashWatch(boost::asio::io_context &Loop, DecisionLog &Log)
      : m_Loop(Loop), m_Log(Log) {}

  /// Fingerprints are made with the fleet's secret from now on.
  void useSecret(const std::string &Secret);
  /// Absent while the secret is not known.
  std::optional<dispatch::RequestFingerprint>
  fingerprintOf(const proxy::Request &What) const;

  /// A send of \p What to \p Which broke off.
  void brokeOff(const dispatch::RequestFingerprint &What,
                const dispatch::Target &Which, BootTime Now);
  /// The store lists the target no more.
  void targetGone(const std::string &TargetId);
  void tick(BootTime Now);

  /// Servers that have ended under a request.
  uint64_t crashes() const { return m_Crashes; }

private:
  /// Sends that broke off at one start of a server, until it is known whether
  /// it has ended.
  struct Doubt {
    BootTime Since{};
    std::vector<dispatch::RequestFingerprint> Requests;
  };

  void probe(const dispatch::ServerStart &Which, const Endpoint &Where,
             unsigned Try);
  void probeAgain(const dispatch::ServerStart &Which, const Endpoint &Where,
                  unsigned Try);
  void serverEnded(const dispatch::ServerStart &Which, std::string_view How);

  boost::asio::io_context &m_Loop;
  DecisionLog &m_Log;
  std::optional<dispatch::Fingerprinter> m_Fingerprinter;
  std::map<dispatch::ServerStart, Doubt> m_Doubts;
  /// Starts that have ended, and since when that is known: the ends of their
  /// other sends come in behind.
  std::map<dispatch::ServerStart, BootTime> m_Ended;
  uint64_t m_Crashes = 0;
};

} // namespace figlift::gateway
