//===- Fleet.cpp - The platform's list as this agent saw it last ----------===//
//
// An outage of the platform leaves the last list in force.
//
//===----------------------------------------------------------------------===//

#include "Fleet.h"

#include <utility>

namespace figlift::agent {

/// Reads of an agent that has a list, in units of the interval of reads.
static constexpr double SlowFactor = 4;

Fleet::Fleet(Context Shared, platform::VmList &List)
    : m_Shared(Shared), m_List(List),
      m_Random(static_cast<uint32_t>(
          std::hash<std::string>()(Shared.Settings.Process.Id))) {}

void Fleet::poll() {
  refresh();
  // Agents that started together must not ask the platform together.
  std::uniform_real_distribution<double> Jitter(0.75, 1.25);
  const double Factor = Jitter(m_Random) * (m_Vms.empty() ? 1 : SlowFactor);
  m_Shared.Decisions.after(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          m_Shared.Settings.Platform.VmListInterval * Factor),
      [this] { poll(); });
}

void Fleet::refresh() {
  if (std::exchange(m_Asked, true))
    return;
  m_List.list([this](Result<std::vector<platform::Vm>> Read) {
    m_Shared.Decisions.post([this, Read = std::move(Read)]() mutable {
      m_Asked = false;
      if (!Read)
        return;
      m_Vms = std::move(Read.value());
      m_OnChange();
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
