//===- Standing.h - Whether this target takes new work ----------*- C++ -*-===//
//
// Pure: collects the reasons not to, from whoever learns of one first, and
// names the state that entries see.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/ResultCode.h"

#include <set>
#include <string_view>

namespace figlift::agent {

/// Why this target leaves.
enum class DrainReason {
  /// The record of this target says drain or retire.
  OperatorRecord,
  /// An entry asked by the Drain method.
  PeerRequest,
  /// The platform's list says that the VM leaves.
  VmList,
  /// SIGTERM.
  Stop,
};

class Standing {
public:
  void set(DrainReason Why, bool On) {
    if (On)
      m_Reasons.insert(Why);
    else
      m_Reasons.erase(Why);
  }
  /// The order machine's view of the engine.
  void setEngineOpen(bool Open) { m_EngineOpen = Open; }

  /// The configuration is known and not out of date.
  void setConfigured(bool Configured) { m_Configured = Configured; }

  bool draining() const { return !m_Reasons.empty(); }
  bool stopping() const { return m_Reasons.contains(DrainReason::Stop); }
  bool accepting() const { return m_EngineOpen && m_Configured && !draining(); }
  /// Meaningful while not accepting.
  ResultCode refusalCode() const {
    if (draining())
      return ResultCode::Draining;
    return m_EngineOpen ? ResultCode::StaleConfiguration : ResultCode::NotReady;
  }
  std::string_view name(size_t RequestsInFlight) const {
    if (draining())
      return RequestsInFlight == 0 ? "drained" : "draining";
    return accepting() ? "serving" : "recovering";
  }

private:
  std::set<DrainReason> m_Reasons;
  bool m_EngineOpen = false;
  bool m_Configured = false;
};

} // namespace figlift::agent
