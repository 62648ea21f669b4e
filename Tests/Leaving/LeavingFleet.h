//===- LeavingFleet.h - A fleet that a target leaves under load -*- C++ -*-===//
//
// Four engines and two services under a mixed load, and the check that a
// target which was told to leave is given nothing more.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"
#include "Support/MixedCallers.h"

#include <chrono>
#include <string>

namespace figlift::test {

inline constexpr std::chrono::seconds Limit{20};
inline constexpr std::chrono::milliseconds ListLag{500};

/// Streams of up to half a second.
inline constexpr CallerMix LeavingMix{.LongTokens = 80};

FleetOptions leavingFleet();

/// Requests that a target's stand-in has taken, of whatever outcome.
size_t taken(const Fleet &Of, const std::string &Target);
/// Requests of an engine whose answer was cut or cancelled.
size_t cut(const Fleet &Of, const std::string &Target);

/// How long after \p Told the target was given its last new request at most,
/// seen over a time in which the others served many; empty when it is still
/// given work at the limit. \p Before: what it had taken when it was told.
std::optional<std::chrono::milliseconds>
lastNewWork(const Fleet &Of, MixedCallers &Load, const std::string &Target,
            std::chrono::steady_clock::time_point Told, size_t Before);

} // namespace figlift::test
