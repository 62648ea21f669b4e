//===- ServerLiveness.h - Whether a server runs after an answer -*- C++ -*-===//
//
// The end of a connection does not say why it ended. The kernel of a process
// that ends closes its connections, in order unless there is unread input. An
// answer that only the end of its connection delimits is therefore whole only
// if its server still runs.
//
// That is found out after the end, by a new connection. A successor may listen
// at the same address already; other connections that ended at the same time
// tell it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Endpoint.h"
#include "LibUpstream/ServerProbe.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace figlift::upstream {

class ServerConnection;

/// Identifies a connection among all that this process has opened.
using ConnectionId = uint64_t;

enum class ServerState {
  Running,
  Ended,
  /// Nothing was learned. Must not be taken for Running.
  Unknown,
};

/// Short text for the log.
std::string_view describe(ServerState State);

struct LivenessResult {
  ServerState State = ServerState::Unknown;
  /// Short text for the log.
  std::string_view Reason;
  unsigned Probes = 0;
  /// From the question to this result.
  std::chrono::milliseconds Took{0};
  /// \name The other connections to the server that were established before the
  /// answer ended: those that are open, and those that ended with it.
  /// @{
  size_t OthersOpen = 0;
  size_t OthersEnded = 0;
  /// @}
};

/// The end of an answer with its connection.
struct AnswerEnd {
  ConnectionId Connection = 0;
  /// The connection was open at this time. It may have ended right after it.
  BootTime OpenAt{};
};

/// What the connections to one server tell of its process. All members are
/// called on the loop's thread.
class ServerLiveness : public std::enable_shared_from_this<ServerLiveness> {
public:
  using Callback = std::function<void(const LivenessResult &)>;

  /// \p LastAwake returns a time at which the loop had read all that had
  /// arrived; empty if that is not known.
  ServerLiveness(boost::asio::io_context &Loop, Endpoint Server,
                 std::function<BootTime()> LastAwake = {});

  BootTime lastAwake() const;
  void connectionOpened(ServerConnection &Connection);
  void connectionClosed(ConnectionId Connection);
  /// The peer has ended a connection in order, established at \p Since, that
  /// was idle or carried an answer which is incomplete for that reason. Resets
  /// also come from links, and from servers that go on.
  void connectionLost(ConnectionId Connection, BootTime Since);
  /// Calls \p Done once it is known whether the server runs after \p End:
  /// mostly after a round trip and 60 ms, at the latest after some three
  /// seconds. Never within this call.
  void check(const AnswerEnd &End, Callback Done);

private:
  struct Question {
    AnswerEnd End;
    BootTime AskedAt{};
    Callback Done;
  };
  struct Open {
    ServerConnection *Connection = nullptr;
    BootTime Since{};
  };
  struct Loss {
    ConnectionId Connection = 0;
    BootTime Since{};
    BootTime FoundAt{};
  };

  void startProbes();
  void probe();
  void guardedProbe();
  void probed(ProbeResult Result);
  void probeAgain();
  void end(ProbeResult Result);
  LivenessResult judge(const Question &Asked, ProbeResult Result);
  void countOthers(const Question &Asked, LivenessResult &Judged) const;
  void decide(const Question &Asked, ProbeResult Probed,
              LivenessResult &Judged) const;

  boost::asio::io_context &m_Loop;
  const Endpoint m_Server;
  const std::function<BootTime()> m_LastAwake;
  /// Established and not closed by this process.
  std::map<ConnectionId, Open> m_Open;
  /// The latest, in the order in which they were found.
  std::deque<Loss> m_Losses;
  /// Asked since the current probes began; the next ones answer them.
  std::vector<Question> m_Waiting;
  /// Asked before the current probes began.
  std::vector<Question> m_Asked;
  bool m_IsProbing = false;
  unsigned m_Probes = 0;
  /// Start of the latest probe.
  BootTime m_ProbedAt{};
};

} // namespace figlift::upstream
