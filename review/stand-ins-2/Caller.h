//===- Caller.h - A client that sends one request after another -*- C++ -*-===//
//
// Each request has an id of its own. A connection is kept until it ends.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Network.h"

#include <vector>

namespace review {

struct Call {
  Time Sent;
  std::string Gateway;
  std::string AttemptId;
  std::string Path;
  /// 0 if the connection ended without an answer.
  int Status = 0;
  /// Of the body, which was as long as the answer said.
  size_t BodyBytes = 0;
};

/// All requests of a case.
class CallLog {
public:
  std::string nextId() { return "c" + std::to_string(1000000 + ++m_Last); }
  void add(Call Entry) {
    const std::lock_guard Lock(m_Mutex);
    m_Calls.push_back(std::move(Entry));
  }
  std::vector<Call> all() {
    const std::lock_guard Lock(m_Mutex);
    return m_Calls;
  }

private:
  std::atomic<uint64_t> m_Last = 0;
  std::mutex m_Mutex;
  std::vector<Call> m_Calls;
};

class Caller {
public:
  Caller(CallLog &Log, std::string GatewayName, uint16_t Port)
      : m_Log(Log), m_GatewayName(std::move(GatewayName)), m_Port(Port) {}
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;
  ~Caller() { disconnect(); }

  /// \p Fields: further lines of the head. Returns the status, 0 for none.
  int get(const std::string &Path, const std::string &Fields = {}) {
    if (m_Handle < 0)
      connect();
    Call Entry{Clock::now(), m_GatewayName, m_Log.nextId(), Path};
    const bool IsSent =
        m_Handle >= 0 &&
        sendAll(m_Handle, "GET " + Path +
                              " HTTP/1.1\r\nHost: desk.example\r\n"
                              "X-Attempt-Id: " +
                              Entry.AttemptId + "\r\nX-Deadline-Ms: 1500\r\n" +
                              Fields + "\r\n");
    const auto Answer = IsSent ? m_Answers->next() : std::nullopt;
    if (Answer) {
      Entry.Status = Answer->status();
      Entry.BodyBytes = Answer->Body.size();
    }
    if (!Answer || Answer->field("connection") == "close")
      disconnect();
    m_Log.add(Entry);
    return Entry.Status;
  }

private:
  void connect() {
    m_Handle = connectTo(m_Port);
    m_Answers.emplace(m_Handle);
  }
  void disconnect() {
    if (m_Handle >= 0)
      close(m_Handle);
    m_Handle = -1;
  }

  CallLog &m_Log;
  std::string m_GatewayName;
  uint16_t m_Port;
  int m_Handle = -1;
  std::optional<Reader> m_Answers;
};

} // namespace review
