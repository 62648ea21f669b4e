//===- StreamMove.h - Whether a running stream changes its engine -*- C++ -*-=//
//
// A resumable stream is resumed on another engine if its own one changes its
// stage, which it does only after its streams have ended, or if its own one is
// too slow for it. Each move is a further run and uses the retry budget, of
// which failures need the larger part.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibEngine/EngineModel.h"

#include <optional>
#include <string_view>

namespace figlift::dispatch {

using engine::Milliseconds;

/// State of a stream after one of its events.
struct MovableStream {
  bool Resumable = false;
  /// A stream is moved once at most.
  bool WasMoved = false;
  unsigned Runs = 1;
  unsigned MaximumRuns = 1;
  /// Longest pause so far.
  Milliseconds LongestPause{0};
  /// Empty if the route allows any pause.
  std::optional<Milliseconds> AllowedPause;
  /// Longest pause expected at its engine; empty if not known.
  std::optional<Milliseconds> ExpectedPause;
  /// Its engine was ordered to change its stage.
  bool EngineChangesStage = false;
  /// Retries that may be sent now, and with a budget that is not used.
  double BudgetLeft = 0;
  double BudgetBase = 0;
};

enum class MoveReason { StageChange, LongPauses };

constexpr std::string_view describe(MoveReason Reason) {
  return Reason == MoveReason::StageChange ? "stage change" : "long pauses";
}

/// Why the stream should be moved, if it should and may.
inline std::optional<MoveReason> moveReason(const MovableStream &Stream) {
  constexpr double BudgetShareOfFailures = 0.5;
  const bool MayMove =
      Stream.Resumable && !Stream.WasMoved &&
      Stream.Runs < Stream.MaximumRuns &&
      Stream.BudgetLeft >= Stream.BudgetBase * BudgetShareOfFailures;
  if (!MayMove)
    return std::nullopt;
  if (Stream.EngineChangesStage)
    return MoveReason::StageChange;
  // A stream that is late already gains nothing.
  const bool IsTooSlow = Stream.AllowedPause && Stream.ExpectedPause &&
                         *Stream.ExpectedPause > *Stream.AllowedPause &&
                         Stream.LongestPause <= *Stream.AllowedPause;
  return IsTooSlow ? std::optional(MoveReason::LongPauses) : std::nullopt;
}

/// Whether an engine is worth a move. A move because of a stage change takes
/// any engine; otherwise the new one has to be clearly faster.
inline bool isWorthAMove(MoveReason Reason,
                         std::optional<Milliseconds> ExpectedPause,
                         std::optional<Milliseconds> AllowedPause) {
  constexpr double FastPauseShare = 0.75;
  return Reason == MoveReason::StageChange ||
         (ExpectedPause && AllowedPause &&
          *ExpectedPause < *AllowedPause * FastPauseShare);
}

} // namespace figlift::dispatch
