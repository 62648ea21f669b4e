//===- Fleet.h - Cached copy of the platform's VM list ----------*- C++ -*-===//
//
// Polls the list of VMs for the targets that can be homes, the addresses of
// entries, and whether this VM is leaving. The list lags. Entries read it more
// often and notify a target that it is leaving, so the agent polls rarely.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibPlatform/Platform.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace figlift::agent {

class Fleet {
public:
  Fleet(Context Shared, platform::VmList &List);

  void start() { poll(); }
  /// Reads the list now, in addition to the regular polls.
  void refresh();
  const platform::Vm *find(const std::string &Id) const;
  /// Live targets of this agent's back end, this one included if it is live.
  std::vector<std::string> homes() const;
  std::vector<Endpoint> entries() const;
  /// Whether the list says that this VM is leaving or gone.
  bool leaving() const;
  void onChange(std::function<void()> Observer) {
    m_OnChange = std::move(Observer);
  }

private:
  void poll();

  Context m_Shared;
  platform::VmList &m_List;
  std::minstd_rand m_Random;
  bool m_ReadPending = false;
  std::vector<platform::Vm> m_Vms;
  std::function<void()> m_OnChange = [] {};
};

} // namespace figlift::agent
