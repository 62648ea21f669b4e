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

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace figlift::testing {

/// One gateway before stand-ins.
class GatewayScene {
public:
  /// \p Grace: from SIGTERM to the kill.
  explicit GatewayScene(double Grace = 8);
  /// Writes the gateway's settings file; it exists from the first call on.
  void writeSettings(const std::string &Text);
  ~GatewayScene();

  /// Writes the configuration: routes /safe/, /unsafe/, /stream/ (resumable)
  /// and /once/ (not), to "plain" and "model".
  void configure(uint64_t Version = 1);
  /// A server of \p Service that is listed.
  Listener &server(const std::string &Id, const std::string &Service,
                   Listener::Behaviour Act, const std::string &Stage = "");
  void list(const std::string &Id, const std::string &State);
  /// The server at \p Id's address starts again: the same id, a later start.
  void restart(const std::string &Id);
  /// Sends one request on a connection of its own and gives the whole answer,
  /// head and body, once the gateway has closed it.
  std::string ask(const std::string &Method, const std::string &Path,
                  const std::string &Fields = "");
  std::string metrics();
  /// Sends SIGTERM to this process, which the gateway takes for its own.
  void terminate();
  /// Sends SIGHUP, likewise.
  void hangUp();
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
  settings::GatewaySettings Settings;

private:
  struct Entry {
    std::unique_ptr<Listener> Server;
    std::string Service;
    std::string Stage;
    /// Milliseconds since 1970.
    int64_t Started = 1790000000000;
  };
  void startOnFreePorts();
  std::string exchange(const Endpoint &Where, const std::string &Bytes);

  std::map<std::string, Entry> m_Servers;
  /// Entries written so far; each one's number.
  uint64_t m_Heartbeats = 0;
  std::string m_SettingsFile;
  gateway::OutputWriter m_Output;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  std::thread m_Thread;
};

/// A whole, signed answer to \p What.
void answer(const proxy::Request &What, const Caller &To, unsigned Status,
            const std::string &Body);
/// An answer that says that nothing ran.
void turnAway(const Caller &To);
/// The head of a stream; events follow by writeStream.
void beginStream(const proxy::Request &What, const Caller &To);

} // namespace figlift::testing
