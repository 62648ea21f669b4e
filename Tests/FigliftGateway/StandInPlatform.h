//===- StandInPlatform.h - Store, servers and a caller ----------*- C++ -*-===//
//
// Small stand-ins of the platform for one gateway, on the loopback: a store,
// servers whose behaviour a test sets, and a caller. All of them run on the
// test's loop; the gateway runs on a thread of its own.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInStore.h"

#include "figlift-gateway/Gateway.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace figlift::testing {

/// One gateway before stand-ins.
class GatewayScene {
public:
  /// \p Grace: from SIGTERM to the kill. \p Repeats: how many sends are free
  /// in each window of the budget.
  explicit GatewayScene(double Grace = 8, double Repeats = 50);
  /// Writes the gateway's settings file; it exists from the first call on.
  void writeSettings(const std::string &Text);
  /// Writes the gateway's settings with another time from SIGTERM to the kill.
  void writeGrace(double Grace);
  const std::string &settingsFile() const { return m_SettingsFile; }
  ~GatewayScene();

  /// Writes the configuration: routes /safe/, /unsafe/, /stream/ (resumable),
  /// /once/ (not) and /long/ (not, with a timeout beyond any grace time here),
  /// to "plain" and "model". \p Without: this service and its routes are left
  /// out.
  void configure(uint64_t Version = 1, const std::string &Without = "");
  /// A server of \p Service that is listed.
  Listener &server(const std::string &Id, const std::string &Service,
                   Listener::Behaviour Act, const std::string &Stage = "");
  void list(const std::string &Id, const std::string &State);
  /// An engine is listed at whose address nobody listens.
  void listMissingEngine(const std::string &Id, const std::string &Stage);
  /// The server at \p Id's address starts again: the same id, a later start.
  void restart(const std::string &Id);
  void behave(const std::string &Id, Listener::Behaviour Act) {
    m_Servers[Id].Server->behave(std::move(Act));
  }
  /// The server ends, and nobody says so in the store.
  void crash(const std::string &Id);
  /// It starts again, as \p NewId at the same address.
  void comeBack(const std::string &Id, const std::string &NewId);
  /// Sends one request on a connection of its own and gives the whole answer,
  /// head and body, once the gateway has closed it.
  std::string ask(const std::string &Method, const std::string &Path,
                  const std::string &Fields = "");
  std::string metrics();
  /// Sends SIGTERM to this process, which the gateway takes for its own.
  void terminate();
  /// Sends SIGHUP, likewise.
  void hangUp();
  /// The gateway has left its loop; callers that it did not close are not.
  bool hasEnded() const { return m_Ended; }
  /// Waits for the answer of the ready address.
  bool becomesReady(bool Wanted = true);
  template <typename Condition> bool until(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_for(std::chrono::milliseconds(2));
    return Done();
  }

  boost::asio::io_context Loop;
  StandInStore Store{Loop};
  /// Routes of configurations besides the ones above; a request to the last of
  /// them asks for "/more-N/".
  unsigned MoreRoutes = 0;
  settings::GatewaySettings Settings;

private:
  struct Entry {
    std::unique_ptr<Listener> Server;
    std::string Service;
    std::string Stage;
    /// Milliseconds since 1970.
    int64_t Started = 1790000000000;
  };
  void put(const std::string &Id, const std::string &Service,
           const Endpoint &Address, const std::string &Stage,
           const std::string &State, int64_t Started);
  void startOnFreePorts();
  std::string exchange(const Endpoint &Where, const std::string &Bytes);

  std::map<std::string, Entry> m_Servers;
  /// Entries written so far; each one's number.
  uint64_t m_Heartbeats = 0;
  std::string m_SettingsFile;
  gateway::OutputWriter m_Output;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  std::atomic<bool> m_Ended = false;
  std::thread m_Thread;
};

/// A caller that keeps its connection for as long as the gateway does.
class KeptCaller {
public:
  explicit KeptCaller(GatewayScene &Scene);
  void send(const std::string &Method, const std::string &Path,
            const std::string &Fields = "");
  /// Bytes as they are.
  void sendBytes(const std::string &Bytes);
  /// All that has come so far.
  const std::string &received();
  /// The gateway has closed its side.
  bool ended() const { return m_Ended; }

private:
  boost::asio::ip::tcp::socket m_Socket;
  std::string m_Received;
  bool m_Ended = false;
};

bool has(const std::string &Text, const std::string &Part);
/// \p Stream has its last chunk; without it the answer is not complete.
bool endsWhole(const std::string &Stream);
/// \p Answer says that nothing ran, when to come back and to do so elsewhere.
bool isTurnedAway(const std::string &Answer);
/// Fields of a request with a prompt that is read apart from its run.
extern const std::string Prompt;

/// A whole, signed answer to \p What.
void answer(const proxy::Request &What, const Caller &To, unsigned Status,
            const std::string &Body);
/// An answer that says that nothing ran.
void turnAway(const Caller &To);
/// \name Behaviours of servers.
/// @{
/// A plain server that answers at once.
Listener::Behaviour answersWith(const std::string &Body);
/// An engine that has read a prompt.
void readsPrompt(const proxy::Request &What, const Caller &To);
/// An engine whose stream lasts for \p Time, with an event each 20 ms.
Listener::Behaviour streamsFor(boost::asio::io_context &Loop,
                               std::chrono::milliseconds Time);
/// @}

/// The head of a stream; events follow by writeStream.
void beginStream(const proxy::Request &What, const Caller &To);

} // namespace figlift::testing
