//===- StreamTimes.h - How long streams of one route last -------*- C++ -*-===//
//
// From the first event of a stream to its end. What callers allow as the most
// output says little about it, and neither do the streams that have ended soon
// after a start: the short ones end first. With those alone, the time that
// streams ask of engines came out at a quarter of the truth for seconds, and
// engines were taken away from running.
//
// By Little's law the mean is the number that run, summed over time, for each
// one that ended in that time; streams that still run count, too.
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
  /// One that began has ended, for whatever reason.
  void recordEnd(BootTime Now);
  /// 0 before the first one began.
  engine::Milliseconds mean(BootTime Now) const;

private:
  /// Several times as long as the longest streams last.
  static constexpr std::chrono::seconds TimeConstant{20};

  struct Sums {
    engine::Milliseconds Running{0};
    double Ended = 0;
  };
  Sums sumsAt(BootTime Now) const;
  void advance(BootTime Now);

  unsigned m_Running = 0;
  /// As of m_At; both fade with the memory.
  Sums m_Sums;
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
