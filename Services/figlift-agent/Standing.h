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

  bool draining() const { return !m_Reasons.empty(); }
  bool stopping() const { return m_Reasons.contains(DrainReason::Stop); }
  bool accepting() const { return m_EngineOpen && !draining(); }
  /// Meaningful while not accepting.
  ResultCode refusalCode() const {
    return draining() ? ResultCode::Draining : ResultCode::NotReady;
  }
  std::string_view name(size_t RequestsInFlight) const {
    if (draining())
      return RequestsInFlight == 0 ? "drained" : "draining";
    return m_EngineOpen ? "serving" : "recovering";
  }

private:
  std::set<DrainReason> m_Reasons;
  bool m_EngineOpen = false;
};

} // namespace figlift::agent
