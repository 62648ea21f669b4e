//===- Fleet.cpp - Cached copy of the platform's VM list ------------------===//
//
// The last list stays in use during an outage of the platform.
//
//===----------------------------------------------------------------------===//

#include "Fleet.h"

#include <utility>

namespace figlift::agent {

/// Once the agent has a list, it polls at this multiple of
/// platform.vmListInterval.
static constexpr double SlowPollFactor = 4;

Fleet::Fleet(Context Shared, platform::VmList &List)
    : m_Shared(Shared), m_List(List),
      m_Random(static_cast<uint32_t>(
          std::hash<std::string>()(Shared.Settings.Process.Id))) {}

void Fleet::poll() {
  refresh();
  // Jitter keeps agents that started together from polling together.
  std::uniform_real_distribution<double> Jitter(0.75, 1.25);
  const double Factor = Jitter(m_Random) * (m_Vms.empty() ? 1 : SlowPollFactor);
  m_Shared.Loop.after(std::chrono::duration_cast<std::chrono::milliseconds>(
                          m_Shared.Settings.Platform.VmListInterval * Factor),
                      [this] { poll(); });
}

void Fleet::refresh() {
  if (std::exchange(m_ReadPending, true))
    return;
  m_List.list([this](Result<std::vector<platform::Vm>> Response) {
    m_Shared.Loop.post([this, Response = std::move(Response)]() mutable {
      m_ReadPending = false;
      if (!Response)
        return;
      m_Vms = std::move(Response.value());
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
  std::vector<std::string> Result;
  for (const platform::Vm &Vm : m_Vms)
    if (Vm.Kind == platform::VmKind::Target &&
        Vm.BackEnd == m_Shared.Settings.Target.BackEnd &&
        Vm.State == platform::VmState::Live)
      Result.push_back(Vm.Id);
  return Result;
}

std::vector<Endpoint> Fleet::entries() const {
  std::vector<Endpoint> Result;
  for (const platform::Vm &Vm : m_Vms)
    if (Vm.Kind == platform::VmKind::Entry &&
        Vm.State != platform::VmState::Gone)
      Result.push_back(Vm.Peer);
  return Result;
}

bool Fleet::leaving() const {
  const platform::Vm *Self = find(m_Shared.Settings.Process.Id);
  return Self && Self->State != platform::VmState::Live;
}

} // namespace figlift::agent
