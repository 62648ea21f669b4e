//===- EngineSwitches.cpp - Engines that change their stage ---------------===//
//
// A map of the orders that have not completed.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineSwitches.h"

namespace figlift::dispatch {

void EngineSwitches::recordOrder(const std::string &Id,
                                 const std::string &Service, Stage DesiredStage,
                                 BootTime BackAt) {
  m_Switches[Id] = {Service, DesiredStage, BackAt, BackAt + MaximumDrainTime};
}

void EngineSwitches::recordAcceptance(const std::string &Id) {
  if (const auto Found = m_Switches.find(Id); Found != m_Switches.end())
    Found->second.IsAccepted = true;
}

std::vector<std::string> EngineSwitches::update(const Finder &Find,
                                                BootTime Now) {
  std::erase_if(m_Switches, [&](const auto &Entry) {
    const EngineSwitch &Change = Entry.second;
    const Target *Engine = Find(Entry.first);
    return !Engine || Engine->EngineStage == Change.DesiredStage ||
           Now >= (Change.IsAccepted ? Change.Limit : Change.Until);
  });
  std::vector<std::string> Extended;
  for (auto &[Id, Change] : m_Switches)
    if (Now >= Change.Until) {
      Change.Until = Now + Extension;
      Extended.push_back(Id);
    }
  return Extended;
}

std::optional<BootTime> EngineSwitches::until(const std::string &Id) const {
  const auto Found = m_Switches.find(Id);
  if (Found == m_Switches.end())
    return std::nullopt;
  return Found->second.Until;
}

} // namespace figlift::dispatch
