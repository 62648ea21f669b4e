//===- EngineDemand.h - Work that callers ask of engines --------*- C++ -*-===//
//
// How much engine time a second the requests of a service ask for, by kind of
// work, whether they were served or refused: what was refused for want of the
// right engines is the reason to change one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/EngineCosts.h"

#include <chrono>

namespace figlift::dispatch {

/// Engine time for each second of demand; 1 keeps one engine busy.
struct EngineDemand {
  /// Reading prompts at prefill engines.
  double Read = 0;
  /// Fetching KV cache and generating tokens at decode engines.
  double Run = 0;

  EngineDemand &operator+=(const EngineDemand &Other) {
    Read += Other.Read;
    Run += Other.Run;
    return *this;
  }
};

/// Running mean of the demand that this process has seen.
class DemandMeter {
public:
  /// \p Memory: about a period over which the mix is to be averaged. A change
  /// of an engine takes seconds away from it, so a burst of two or three
  /// seconds is not worth following.
  explicit DemandMeter(std::chrono::milliseconds Memory =
                           std::chrono::milliseconds(8000))
      : m_Memory(Memory) {}

  void requested(Milliseconds Read, Milliseconds Run, BootTime Now);
  EngineDemand demand(BootTime Now) const;
  /// How long the meter has been running, at most its memory.
  bool settled(BootTime Now) const;

private:
  double decay(BootTime Now) const;

  std::chrono::milliseconds m_Memory;
  EngineDemand m_Sum;
  BootTime m_At{};
  BootTime m_First{};
};

} // namespace figlift::dispatch
