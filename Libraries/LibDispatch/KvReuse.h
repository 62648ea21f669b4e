//===- KvReuse.h - Whether a rejected run is worth sending again -*- C++
//-*-===//
//
// An engine rejects a run because it is full, or because the KV cache that was
// read for it is gone; its answer does not say which. In the first case another
// engine runs it without a second read. In the second every further engine
// rejects it, and only a new read helps. What the last such runs came to tells
// the two apart: caches are lost by many at once, when engines drop them early.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>

namespace figlift::dispatch {

class KvReuse {
public:
  /// Whether runs that were sent again with the same KV cache mostly began.
  bool shouldRetry(BootTime Now) const;
  /// One that was sent again has begun, or was rejected once more.
  void recordRetry(bool Started, BootTime Now);

private:
  static constexpr double Smoothing = 0.2;
  /// Below this the second read is cheaper than one more rejection.
  static constexpr double MinimumSuccessShare = 0.5;
  /// Doubt fades with this half-life, so that it is tried again.
  static constexpr std::chrono::milliseconds HalfLife{1500};

  double failureShare(BootTime Now) const;

  /// Share of rejections among the last ones, at m_At.
  double m_FailureShare = 0;
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
