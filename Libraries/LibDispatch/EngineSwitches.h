//===- EngineSwitches.h - Engines that change their stage -------*- C++ -*-===//
//
// Engines that this process has ordered to change their stage, and until when
// they accept no work. A decode engine ends its streams before it changes,
// which takes longer than announced, so an engine that has accepted its order
// counts as unavailable until it is listed in its new stage.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figlift::dispatch {

struct EngineSwitch {
  std::string Service;
  Stage DesiredStage = Stage::None;
  /// The engine accepts no work before.
  BootTime Until{};
  /// The change has failed if it is not listed by then.
  BootTime Limit{};
  /// Without an answer the order may not have reached the engine, which then
  /// goes on working.
  bool IsAccepted = false;
};

class EngineSwitches {
public:
  using Map = std::map<std::string, EngineSwitch>;
  /// Finds a listed target; null if there is none.
  using Finder = std::function<const Target *(const std::string &Id)>;

  /// An order was sent. \p BackAt: announced end of the change.
  void recordOrder(const std::string &Id, const std::string &Service,
                   Stage DesiredStage, BootTime BackAt);
  void recordAcceptance(const std::string &Id);
  /// The order was refused, or the engine has ended.
  void remove(const std::string &Id) { m_Switches.erase(Id); }
  /// Removes completed and failed changes, and extends the accepted ones that
  /// are not listed in time. Returns the ids of the extended ones.
  std::vector<std::string> update(const Finder &Find, BootTime Now);

  const Map &all() const { return m_Switches; }
  /// End of the unavailability; empty if no order is known.
  std::optional<BootTime> until(const std::string &Id) const;

private:
  /// Longer than the longest streams last.
  static constexpr std::chrono::milliseconds MaximumDrainTime{15000};
  /// Longer than a report to the peers takes.
  static constexpr std::chrono::milliseconds Extension{400};

  Map m_Switches;
};

} // namespace figlift::dispatch
