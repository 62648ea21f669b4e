//===- TargetGauge.h - Live load of one target ------------------*- C++ -*-===//
//
// An entry's current view of a target's load: the last report, and the work
// that this entry has sent and that is not yet included in a report. All
// members are lock-free and may be called from any thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibRoute/RecentPrefixes.h"
#include "LibRoute/TargetLoad.h"

#include <array>
#include <atomic>

namespace figlift::route {

/// Size of one attempt as the gauge counts it.
struct SentWork {
  record::ServiceClass Class = record::ServiceClass::Interactive;
  /// Prompt tokens that are expected to be computed, without cached ones.
  uint64_t PrefillTokens = 0;
  uint64_t DecodeTokens = 0;
};

class TargetGauge {
public:
  /// Stores a report that arrived at \p Now. The fields are stored one by one:
  /// a reader may see a mixture of two consecutive reports, which is as good
  /// an estimate as either.
  void report(const TargetLoad &Load, BootTime Now);
  TargetLoad reported() const;
  /// The origin of the clock if no report has arrived.
  BootTime reportedAt() const;

  /// Adds an attempt that the entry is about to send. Until recordSettled() is
  /// called, no report includes its work.
  void recordSent(const SentWork &Work);
  /// Removes an attempt when its first frame arrives with a load that includes
  /// it, or when it ends without one. Must be called once for each
  /// recordSent().
  void recordSettled(const SentWork &Work);

  /// Returns the last report plus the work sent that it does not include.
  TargetLoad corrected() const;
  uint64_t unaccountedRequests() const;

  /// Records that \p Cached prompt tokens were found in the target's cache
  /// (Accepted or Finished frame), where \p ExpectedTokens were expected.
  void recordCacheHits(uint32_t ExpectedTokens, uint32_t Cached);
  /// Moving average of the fraction of expected tokens that were found in the
  /// cache, between 0.1 and 1.
  double prefixHitRatio() const { return m_PrefixHitRatio.load(Relaxed); }

  RecentPrefixes &recentPrefixes() { return m_RecentPrefixes; }
  const RecentPrefixes &recentPrefixes() const { return m_RecentPrefixes; }

private:
  static constexpr auto Relaxed = std::memory_order_relaxed;

  std::array<std::atomic<uint64_t>, ServiceClassCount> m_PrefillWaiting{};
  std::atomic<uint64_t> m_DecodeWaiting{0};
  std::atomic<uint32_t> m_Running{0};
  std::atomic<uint32_t> m_WaitingRequests{0};
  std::atomic<uint32_t> m_MaximumSequences{0};
  std::atomic<uint64_t> m_KvFree{0};
  std::atomic<double> m_PrefillRate{0};
  std::atomic<double> m_DecodeRate{0};
  std::atomic<BootTime::rep> m_ReportedAt{0};

  std::array<std::atomic<uint64_t>, ServiceClassCount> m_SentPrefill{};
  std::atomic<uint64_t> m_SentDecode{0};
  std::atomic<uint32_t> m_SentRequests{0};
  RecentPrefixes m_RecentPrefixes;
  std::atomic<double> m_PrefixHitRatio{1};
};

} // namespace figlift::route
