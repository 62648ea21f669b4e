//===- DecisionLog.h - Rate limit for log events of decisions ---*- C++ -*-===//
//
// Limits each kind of event to a number per second, so that a flood of one kind
// neither displaces the others nor uses up the processor. Suppressed events are
// counted and reported in one event.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibLog/Log.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace figlift::gateway {

enum class LineKind {
  /// A request, counted when it is accepted. For a sample of the requests all
  /// events are logged, and for the others that proceed as planned none.
  Plain,
  /// A rejected request.
  Rejected,
  /// A failure, a retry, or a late or interrupted response.
  Notable,
  /// The end of an answer that its framing does not prove, and of a stream that
  /// more than one server has written. Such answers are few.
  AnswerEnd,
  /// A change of the process's view of targets, configuration or dependencies.
  State,
};

class DecisionLog {
public:
  explicit DecisionLog(unsigned PlainLinesPerSecond);

  /// Uses one event of the limit. Returns false if the event must be
  /// suppressed.
  bool allows(LineKind Kind, BootTime Now);
  /// Logs the number of suppressed events, at most once a second.
  void tick(BootTime Now);
  uint64_t suppressed() const { return m_SuppressedTotal; }

private:
  static constexpr size_t Kinds = 5;
  /// Rejections and failures are needed to investigate complaints, so their
  /// limits are higher.
  static constexpr unsigned NotableFactor = 10;
  static constexpr unsigned StateLinesPerSecond = 200;
  static constexpr unsigned AnswerEndLinesPerSecond = 200;

  std::array<unsigned, Kinds> m_Allowance;
  std::array<unsigned, Kinds> m_Used{};
  std::array<uint64_t, Kinds> m_Suppressed{};
  uint64_t m_SuppressedTotal = 0;
  BootTime m_WindowStart{};
};

} // namespace figlift::gateway
