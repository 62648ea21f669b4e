//===- Server.h - HTTP shell of the stand-ins -------------------*- C++ -*-===//
//
// One listener that can crash: all connections drop, the port refuses for a
// while, then the same address serves again.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <cpprest/http_listener.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace figlift::standin {

/// One request with its body read.
struct Call {
  web::http::http_request Request;
  std::string Method;
  /// Decoded, without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;

  /// The body as JSON; an empty object when there is no body. Throws.
  Json json() const;
  std::string header(const std::string &Name) const;
  std::string query(const std::string &Name,
                    const std::string &Default = {}) const;
  /// What follows \p Prefix in the path, if the path begins with it.
  std::optional<std::string> after(const std::string &Prefix) const;
  void answer(int Status, const Json &Body) const;
  /// An answer that asks the caller to wait.
  void answerRetryAfter(int Status, const Json &Body,
                        std::chrono::microseconds Wait) const;
  /// Runs \p Work; answers 400 when it throws.
  void guard(const std::function<void()> &Work) const;
  void answerText(int Status, const std::string &Body) const;
};

/// Blocks the signals that Server::run waits for and sizes the HTTP pool; must
/// run before any thread starts.
void prepareProcess();

class Server {
public:
  using Handler = std::function<void(const Call &)>;

  /// \p Listen is "ip:port"; port 0 picks a free one.
  Server(const std::string &Listen, Handler Handle);

  /// Prints "listening ip:port" once ready and serves until SIGTERM or SIGINT.
  int run();

  /// From any thread: drops every connection, forgets by \p OnCrash, refuses
  /// connections for \p RestartAfter and serves again.
  void crash(std::chrono::microseconds RestartAfter);

  /// Runs, possibly twice, between the cut of all connections and the new
  /// start.
  std::function<void()> OnCrash = [] {};

private:
  void open();
  void dispatch(const web::http::http_request &Request);
  void crashNow();
  static void downUnlessStopped(std::chrono::microseconds For);
  void cutConnections() const;

  std::string m_Address;
  uint16_t m_Port = 0;
  Handler m_Handle;
  std::atomic<int64_t> m_RestartAfterMicroseconds{0};
  std::unique_ptr<web::http::experimental::listener::http_listener> m_Listener;
};

/// Lets a task end in an error without ending the process.
void observe(const pplx::task<void> &Task);

} // namespace figlift::standin
