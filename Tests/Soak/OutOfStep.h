//===- OutOfStep.h - Gateways that do not hear of a new version -*- C++ -*-===//
//
// A gateway loses what its peers, and mostly the store, send it. Engines of a
// new software version join, and streams begin at them through the other
// gateways. These are killed, the new engines leave, and callers take their
// streams up at the gateway that is out of step: no stream may hold events of
// two versions.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "SoakFleet.h"

#include <random>
#include <string>
#include <vector>

namespace figlift::soak {

class OutOfStep {
public:
  /// Engines that are replaced keep their software version from now on.
  OutOfStep(SoakFleet &Fleet, InvariantChecker &Checker, uint64_t Seed);

  /// Called about every 50 ms. Begins only if \p AllowNew is set.
  void tick(BootTime Now, bool AllowNew);
  bool calm() const { return m_Phase == Phase::Calm; }
  const std::vector<std::string> &history() const { return m_History; }

private:
  enum class Phase { Calm, Cut, Joined, Killed };
  /// How the store's answers reach the gateway.
  enum class StoreLink { Frozen, Whole, Slow };

  void cut(BootTime Now);
  void joinEngines(BootTime Now);
  void killOthers(BootTime Now);
  void heal(BootTime Now);
  void setLoss(DatagramLoss To, DatagramLoss From);
  unsigned draw(unsigned Minimum, unsigned Maximum);

  SoakFleet &m_Fleet;
  InvariantChecker &m_Checker;
  std::mt19937_64 m_Random;
  Phase m_Phase = Phase::Calm;
  /// End of the present phase; zero until the first tick that may begin.
  BootTime m_Next{};
  unsigned m_Gateway = 0;
  bool m_IsPaused = false;
  /// Engines of the new version, and the version that they had before.
  std::vector<unsigned> m_Engines;
  std::string m_VersionBefore;
  unsigned m_Versions = 0;
  std::vector<std::string> m_History;
};

} // namespace figlift::soak
