//===- OpenTargets.cpp - Targets that accept new work ---------------------===//
//
// See OpenTargets.h.
//
//===----------------------------------------------------------------------===//

#include "OpenTargets.h"

#include <algorithm>

namespace figlift::gateway {

bool OpenTargets::uses(const std::string &TargetId) {
  const dispatch::Target *Target = m_Table.find(TargetId);
  if (!Target)
    return false;
  const List &Used = used(Target->Service);
  return std::find(Used.begin(), Used.end(), Target) != Used.end();
}

void OpenTargets::update() {
  m_ByService.clear();
  for (const auto &[Id, Target] : m_Table.all())
    if (!Target.Draining)
      m_ByService[Target.Service].All.push_back(&Target);
  for (auto &[Service, Lists] : m_ByService) {
    Lists.Rings = dispatch::ServerRings(Lists.All);
    Lists.Used = Lists.Rings.ofGateway(m_Place);
  }
  m_Valid = true;
}

} // namespace figlift::gateway
