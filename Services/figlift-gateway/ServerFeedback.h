//===- ServerFeedback.h - What servers say about themselves -----*- C++ -*-===//
//
// Reads from the head of every response what the server says about itself, not
// about the request: for how long it wants no requests, and whether it is
// shutting down. Fields that nothing reads are logged by name, so that a new
// one is noticed on the day it appears.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibDispatch/ServerBackoffs.h"
#include "LibDispatch/Target.h"
#include "LibProxy/Message.h"
#include "platform/Headers.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace figlift::gateway {

class ServerFeedback {
public:
  explicit ServerFeedback(DecisionLog &Log) : m_Log(Log) {}

  /// Whether a response with this head comes from the server that was asked,
  /// and not from a successor at its address, and answers what was asked.
  using AnswerCheck = std::function<bool(const proxy::ResponseHead &)>;

  /// \p Listener is called for each response of a server that is shutting down.
  void onShutdown(std::function<void(const dispatch::ServerStart &)> Listener) {
    m_OnShutdown = std::move(Listener);
  }

  /// Reads a response that arrived on a connection to \p Server.
  void read(const dispatch::ServerStart &Server,
            const proxy::ResponseHead &Head, const AnswerCheck &IsServersAnswer,
            BootTime Now);

  const dispatch::ServerBackoffs &backoffs() const { return m_Backoffs; }
  /// Records that something was not sent because of a backoff.
  void recordHeldBack(const std::string &TargetId, BootTime Now);

  /// Records that a response on a connection to the server was not the one to
  /// the request that waited for it.
  void recordSkipped(const std::string &TargetId,
                     const proxy::ResponseHead &Head, BootTime Now);

  uint64_t skippedResponses() const { return m_SkippedResponses; }
  uint64_t backoffsReceived() const { return m_BackoffsReceived; }
  uint64_t heldBack() const { return m_HeldBack; }
  uint64_t unknownFields() const { return m_UnknownFields; }

private:
  void recordBackoff(const dispatch::ServerStart &Server,
                     std::chrono::milliseconds Time, BootTime Now);
  void recordUnknown(const dispatch::ServerStart &Server,
                     const std::string &Name, BootTime Now);
  void recordInvalid(const dispatch::ServerStart &Server, std::string_view Name,
                     BootTime Now);

  /// \name Bounds of what is kept and logged of names that servers choose.
  /// @{
  static constexpr size_t MaximumUnknownNames = 64;
  static constexpr size_t MaximumNameLength = 64;
  /// @}

  DecisionLog &m_Log;
  std::function<void(const dispatch::ServerStart &)> m_OnShutdown;
  dispatch::ServerBackoffs m_Backoffs;
  /// Names that have been logged.
  std::set<std::string> m_UnknownNames;
  uint64_t m_BackoffsReceived = 0;
  uint64_t m_HeldBack = 0;
  uint64_t m_SkippedResponses = 0;
  uint64_t m_UnknownFields = 0;
};

} // namespace figlift::gateway
