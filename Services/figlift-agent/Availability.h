//===- Availability.h - Whether this target accepts new work ----*- C++ -*-===//
//
// Combines the reasons against accepting new work, which come from several
// sources, and names the state that is reported to entries. Performs no I/O.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/ResultCode.h"

#include <set>
#include <string_view>

namespace figlift::agent {

/// Why this target drains.
enum class DrainReason {
  /// The record of this target says drain or retire.
  OperatorRecord,
  /// An entry requested it by the Drain method.
  PeerRequest,
  /// The platform's list says that the VM is leaving.
  VmList,
  /// SIGTERM.
  Stop,
};

class Availability {
public:
  void setDrainReason(DrainReason Reason, bool Active) {
    if (Active)
      m_Reasons.insert(Reason);
    else
      m_Reasons.erase(Reason);
  }
  /// Sets whether the order machine permits work at the engine.
  void setEngineOpen(bool Open) { m_EngineOpen = Open; }

  /// Sets whether the configuration is known and not out of date.
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
  std::string_view stateName(size_t RequestsInFlight) const {
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
