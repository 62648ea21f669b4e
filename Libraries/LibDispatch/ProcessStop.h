//===- ProcessStop.h - Graceful stop of a process ---------------*- C++ -*-===//
//
// A process is killed some time after SIGTERM, and callers keep using their
// connections until then. This class decides which work the process still
// accepts, when it closes idle connections, when it sends its final answers and
// when it exits.
//
// Work is accepted only if it ends before the process does; other work is
// rejected at once, as not run, and the caller turns to another process. The
// usual duration of requests is no sufficient basis: it is unknown before the
// first ones have ended, and requests of several times the mean are common. So
// a stream, and a request that may run only once, are accepted only if their
// deadline, at which they end in any case, comes before the stop.
//
// An answer that is sent whole to a request that may be repeated cannot be cut:
// a caller that is still waiting at the end gets a final answer, and may send
// the request again. It is accepted if requests like it fit, by the plan with a
// wide margin and by the longest recent ones.
//
//   SIGTERM ... idle connections close ... final answers ... exit ... kill
//   0           0.35 of the time to        grace - 0.7 s     + 0.3 s  grace
//               the final answers
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/EngineModel.h"

#include <chrono>
#include <optional>

namespace figlift::dispatch {

using engine::Milliseconds;

/// How an answer is sent to its caller.
enum class AnswerForm {
  /// In one piece, once it is complete.
  Whole,
  /// In parts, as they are produced.
  Stream,
};

/// Whether a request may run more than once.
enum class Repetition { Forbidden, Allowed };

/// Work that would begin now: a new request, or a retry.
struct NewWork {
  AnswerForm Answer = AnswerForm::Whole;
  Repetition MayRepeat = Repetition::Forbidden;
  /// Time until its deadline, at which it ends in any case.
  Milliseconds TimeLeft{0};
  /// \name Only used for whole answers to requests that may be repeated.
  /// @{
  /// Planned time until the complete answer; 0 before it is planned.
  Milliseconds Expected{0};
  /// Of recent requests like it; 0 if there were none.
  Milliseconds Longest{0};
  /// @}
};

struct ProcessStopOptions {
  /// Time between the final answers and the kill; covers late ticks and the
  /// transmission of the answers.
  std::chrono::milliseconds ExitMargin{700};
  /// Time between the final answers and the exit. A stream that has begun may
  /// still complete in it.
  std::chrono::milliseconds FinalAnswerTime{300};
  /// After SIGTERM the platform takes a process out of rotation within about
  /// two seconds. Idle connections are closed after this fraction of the time
  /// until the final answers, so that their callers turn to another process
  /// instead of one that rejects more and more. The remaining time is for
  /// requests in progress.
  double IdleCloseShare = 0.35;
  /// A process without callers exits after this fraction of the same time;
  /// before that, the platform may still send new ones.
  double NoCallersShare = 0.4;
  /// The whole answer to a request that may be repeated is accepted if this
  /// reserve is left besides WholeFactor times its planned time, and besides
  /// the longest recent time.
  Milliseconds WholeReserve{800};
  double WholeFactor = 3;
};

class ProcessStop {
public:
  explicit ProcessStop(ProcessStopOptions Options = {}) : m_Options(Options) {}

  /// SIGTERM was noticed; it was sent at \p NoEarlierThan or later. The kill
  /// comes \p Grace after SIGTERM was sent, not after it was noticed, and a
  /// process that was stalled notices it late.
  void begin(BootTime NoEarlierThan, std::chrono::milliseconds Grace);
  /// The settings have changed. The kill may come at the old time or the new
  /// one, so the earlier one counts.
  void updateGrace(std::chrono::milliseconds Grace);

  bool begun() const { return m_Begun.has_value(); }
  /// Whether \p Work may begin. Always true before SIGTERM.
  bool accepts(const NewWork &Work, BootTime Now) const;
  /// Time from \p Now until the final answers; none before SIGTERM.
  std::optional<Milliseconds> timeLeft(BootTime Now) const;

  bool closesIdle(BootTime Now) const;
  /// Returns true once, when the final answers are due.
  bool startsFinalAnswers(BootTime Now);
  /// Whether the process exits now. \p HasNoCallers: no caller is connected.
  bool mayExit(BootTime Now, bool HasNoCallers) const;

private:
  /// The time after \p Fraction of the time until the final answers. Only valid
  /// while stopping.
  BootTime timeAtFraction(double Fraction) const;

  ProcessStopOptions m_Options;
  /// \name Only valid while stopping.
  /// @{
  std::optional<BootTime> m_Begun;
  /// When the final answers are due.
  BootTime m_FinalAnswersDue{};
  /// When the final answers were sent: later than due in a process that was
  /// stalled.
  std::optional<BootTime> m_FinalAnswersSent;
  /// @}
};

} // namespace figlift::dispatch
