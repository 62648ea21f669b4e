//===- ReadTurn.h - When a process reads the store for itself ---*- C++ -*-===//
//
// Knowledge of the store that a peer has told is as good as knowledge that was
// read, and ages alike. The first process in an order that all agree on reads
// at a pace; the others read only when what they know has become older than
// the first would let it, later ones later, so that one of them replaces a
// reader that is cut off, slow or gone, and not all at once. Nobody has to be
// elected, and a reader that tells nothing delays nobody beyond MaximumAge.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace figlift::dispatch {

struct ReadTurn {
  /// Pause of the first process in the order after a read that saw changes;
  /// heartbeats are changes, too, and a watch for them returns at once.
  std::chrono::milliseconds Pace{800};
  /// The second one reads once its knowledge is this old, and each further one
  /// a step later, up to MaximumAge.
  std::chrono::milliseconds TakeOver{1050};
  std::chrono::milliseconds Step{40};
  std::chrono::milliseconds MaximumAge{1250};

  /// When a process with \p Before others in front of it has to read again
  /// that knows the store as of \p KnownAt. \p WasQuiet: by a watch that has
  /// waited for changes in vain, and may just as well go on waiting.
  BootTime due(size_t Before, BootTime KnownAt, bool WasQuiet) const {
    if (Before == 0)
      return WasQuiet ? KnownAt : KnownAt + Pace;
    const auto Steps =
        Step * static_cast<int>(std::min<size_t>(Before - 1, 1000));
    return KnownAt + std::min(TakeOver + Steps, MaximumAge);
  }
};

/// The list of servers. The platform gives two seconds to notice a server that
/// leaves: MaximumAge and a call that times out (700 ms) end before that.
inline constexpr ReadTurn ServerReadTurn{};
/// The configuration: the reader's watch returns with a change at once, and
/// without one after half a second. The platform gives two seconds here, too.
inline constexpr ReadTurn ConfigurationReadTurn{
    std::chrono::milliseconds(100), std::chrono::milliseconds(900),
    std::chrono::milliseconds(40), std::chrono::milliseconds(1150)};

} // namespace figlift::dispatch
