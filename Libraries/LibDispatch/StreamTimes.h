//===- StreamTimes.h - Mean stream duration of a route ----------*- C++ -*-===//
//
// Duration of a stream from its first event to its end. It cannot be derived
// from the maximum output that callers request, nor, soon after a start, from
// the ended streams alone: short streams end first, so the mean is a quarter of
// the actual value for some seconds, and too many engines are moved away from
// decode.
//
// By Little's law the mean is the number of running streams, integrated over
// time, divided by the number of streams that ended in that time. This includes
// streams that are still running.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/EngineModel.h"

#include <chrono>

namespace figlift::dispatch {

class StreamTimes {
public:
  void recordStart(BootTime Now);
  /// A recorded stream has ended, for whatever reason.
  void recordEnd(BootTime Now);
  /// 0 before the first stream.
  engine::Milliseconds mean(BootTime Now) const;
  /// Whether enough streams have ended recently to call others long beside
  /// them.
  bool measured(BootTime Now) const;

private:
  /// Several times the duration of the longest streams.
  static constexpr std::chrono::seconds TimeConstant{20};

  /// The mean is at least four fifths of the actual value then.
  static constexpr double MinimumEnded = 4;

  struct Sums {
    engine::Milliseconds Running{0};
    double Ended = 0;
  };
  Sums sumsAt(BootTime Now) const;
  void advance(BootTime Now);

  unsigned m_Running = 0;
  /// As of m_UpdatedAt; both decay with the time constant.
  Sums m_Sums;
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
