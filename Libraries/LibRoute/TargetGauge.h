//===- TargetGauge.h - Live load of one target ------------------*- C++ -*-===//
//
// What an entry knows about a target's load right now: the last report, and
// the work that this entry has sent and the target has not yet accounted for.
// All members are lock-free and may be called from any thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibRoute/RecentPrefixes.h"
#include "LibRoute/TargetLoad.h"

#include <array>
#include <atomic>

namespace figlift::route {

/// Size of one attempt as the book counts it.
struct SentWork {
  record::ServiceClass Class = record::ServiceClass::Interactive;
  /// Prompt tokens that are expected to be computed, cached ones left out.
  uint64_t PrefillTokens = 0;
  uint64_t DecodeTokens = 0;
};

class TargetGauge {
public:
  /// Takes a report that arrived at \p Now. The numbers are stored one by one:
  /// a reader may see a mixture of two neighbouring reports, which is as good
  /// an estimate as either.
  void report(const TargetLoad &Load, BootTime Now);
  TargetLoad reported() const;
  /// The epoch's origin when no report has arrived.
  BootTime reportedAt() const;

  /// The entry sends an attempt. Between this call and settled() the work is
  /// in no report.
  void sent(const SentWork &Work);
  /// The attempt's first frame came, with a load that includes it, or the
  /// attempt ended before one. Exactly once for each sent().
  void settled(const SentWork &Work);

  /// The last report plus the work sent and not yet accounted for.
  TargetLoad corrected() const;
  uint64_t unaccountedRequests() const;

  /// The target reported \p Cached prompt tokens where \p Believed ones were
  /// expected to be cached (Accepted or Finished frame).
  void learnHit(uint32_t Believed, uint32_t Cached);
  /// Part of the believed savings that lately came true, between 0.1 and 1.
  double prefixTrust() const { return m_PrefixTrust.load(Relaxed); }

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
  std::atomic<double> m_PrefixTrust{1};
};

} // namespace figlift::route
