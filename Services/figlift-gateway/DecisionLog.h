//===- DecisionLog.h - A bounded line for each decision ---------*- C++ -*-===//
//
// Gives each kind of line its own allowance a second, so that a flood of one
// kind cannot push out the others or use up the processor. What is left out is
// counted and told in one line.
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
  /// A request, counted when it is taken: the lines of some that go as planned
  /// are written from the first to the last, and none of the others.
  Plain,
  /// A refusal.
  Refused,
  /// A failure, a repeat, a late or broken answer.
  Notable,
  /// What the process believes: targets, configuration, dependencies.
  Belief,
};

class DecisionLog {
public:
  explicit DecisionLog(unsigned PlainLinesPerSecond);

  /// Takes one line of the allowance; when false, the line is left out.
  bool allows(LineKind Kind, BootTime Now);
  /// Tells how many lines were left out, at most once a second.
  void tick(BootTime Now);
  uint64_t leftOut() const { return m_LeftOutTotal; }

private:
  static constexpr size_t Kinds = 4;
  /// Refusals and failures are what a complaint is about.
  static constexpr unsigned NotableFactor = 10;
  static constexpr unsigned BeliefLinesPerSecond = 200;

  std::array<unsigned, Kinds> m_Allowance;
  std::array<unsigned, Kinds> m_Used{};
  std::array<uint64_t, Kinds> m_LeftOut{};
  uint64_t m_LeftOutTotal = 0;
  BootTime m_SecondBegan{};
};

} // namespace figlift::gateway
