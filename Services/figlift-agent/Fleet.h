//===- Fleet.h - The platform's list as this agent saw it last --*- C++ -*-===//
//
// Polls the list of VMs: who else could be a home, where entries listen, and
// whether this VM is leaving. The list lags. Entries read it more often and
// tell a target that it leaves, so the agent's own reads may be rare.
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
  /// Reads the list now, beside the regular reads.
  void refresh();
  const platform::Vm *find(const std::string &Id) const;
  /// Live targets of this agent's back end, this one included if it is live.
  std::vector<std::string> homes() const;
  std::vector<Endpoint> entries() const;
  /// The list says that this VM leaves or is gone.
  bool leaving() const;
  void onChange(std::function<void()> Observer) {
    m_OnChange = std::move(Observer);
  }

private:
  void poll();

  Context m_Shared;
  platform::VmList &m_List;
  std::minstd_rand m_Random;
  bool m_Asked = false;
  std::vector<platform::Vm> m_Vms;
  std::function<void()> m_OnChange = [] {};
};

} // namespace figlift::agent
