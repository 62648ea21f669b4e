//===- DrainingFleet.h - Fleet for draining under load ----------*- C++ -*-===//
//
// Four engines and two services under a mixed load, and a check that a target
// gets no new requests after it has been notified to drain.
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

/// Streams last up to 0.5 s.
inline constexpr CallerMix DrainingMix{.LongTokens = 80};

FleetOptions drainingFleet();

/// Number of requests that the target's stand-in has received, with any
/// outcome.
size_t receivedRequests(const Fleet &TargetFleet, const std::string &Target);
/// Number of an engine's requests whose response was interrupted or canceled.
size_t interruptedRequests(const Fleet &TargetFleet, const std::string &Target);

/// Waits until the target gets no new requests while the other targets complete
/// many. Returns an upper bound of the time from \p NoticeTime to its last new
/// request, or nothing if it still gets requests after the limit. \p Before:
/// requests that it had received at \p NoticeTime.
std::optional<std::chrono::milliseconds> timeToLastRequest(
    const Fleet &TargetFleet, MixedCallers &Load, const std::string &Target,
    std::chrono::steady_clock::time_point NoticeTime, size_t Before);

} // namespace figlift::test
