//===- Fleet.cpp - The platform's list as this agent saw it last ----------===//
//
// An outage of the platform leaves the last list in force.
//
//===----------------------------------------------------------------------===//

#include "Fleet.h"

namespace figlift::agent {

Fleet::Fleet(Context Shared, platform::VmList &List)
    : m_Shared(Shared), m_List(List) {}

void Fleet::start() { poll(); }

void Fleet::poll() {
  m_List.list([this](Result<std::vector<platform::Vm>> Read) {
    m_Shared.Decisions.post([this, Read = std::move(Read)]() mutable {
      if (Read) {
        m_Vms = std::move(Read.value());
        m_OnChange();
      }
      m_Shared.Decisions.after(m_Shared.Settings.Platform.VmListInterval,
                               [this] { poll(); });
    });
  });
}

const platform::Vm *Fleet::find(const std::string &Id) const {
  for (const platform::Vm &Vm : m_Vms)
    if (Vm.Id == Id)
      return &Vm;
  return nullptr;
}

std::vector<std::string> Fleet::homes() const {
  std::vector<std::string> Out;
  for (const platform::Vm &Vm : m_Vms)
    if (Vm.Kind == platform::VmKind::Target &&
        Vm.BackEnd == m_Shared.Settings.Target.BackEnd &&
        Vm.State == platform::VmState::Live)
      Out.push_back(Vm.Id);
  return Out;
}

std::vector<Endpoint> Fleet::entries() const {
  std::vector<Endpoint> Out;
  for (const platform::Vm &Vm : m_Vms)
    if (Vm.Kind == platform::VmKind::Entry &&
        Vm.State != platform::VmState::Gone)
      Out.push_back(Vm.Peer);
  return Out;
}

bool Fleet::leaving() const {
  const platform::Vm *Self = find(m_Shared.Settings.Process.Id);
  return Self && Self->State != platform::VmState::Live;
}

} // namespace figlift::agent
