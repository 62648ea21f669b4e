//===- AnswerTimes.h - Longest recent answers of a route --------*- C++ -*-===//
//
// How long a request may take, as far as recent ones show. A mean does not say
// that: answers of many times the mean are common where requests differ.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/EngineModel.h"

#include <algorithm>
#include <chrono>

namespace figlift::dispatch {

class AnswerTimes {
public:
  /// A request has ended after \p Took, answered or not.
  void record(engine::Milliseconds Took, BootTime Now) {
    startPeriod(Now);
    m_Longest = std::max(m_Longest, Took);
  }
  /// The longest time of at least the last Period; 0 if there was no request.
  engine::Milliseconds longest(BootTime Now) const {
    const auto Age = Now - m_Since;
    if (Age >= 2 * Period)
      return engine::Milliseconds(0);
    return Age >= Period ? m_Longest : std::max(m_Longest, m_LongestBefore);
  }

private:
  static constexpr std::chrono::seconds Period{60};

  void startPeriod(BootTime Now) {
    if (Now - m_Since < Period)
      return;
    m_LongestBefore =
        Now - m_Since < 2 * Period ? m_Longest : engine::Milliseconds(0);
    m_Longest = engine::Milliseconds(0);
    m_Since = Now;
  }

  /// Start of the present period.
  BootTime m_Since{};
  engine::Milliseconds m_Longest{0};
  /// Of the period before it.
  engine::Milliseconds m_LongestBefore{0};
};

} // namespace figlift::dispatch
