//===- KvReuse.h - Whether to retry with the same KV cache ------*- C++ -*-===//
//
// An engine rejects a decode request because it is full, or because the KV
// cache that was prefilled for the request has been evicted. Its answer does
// not distinguish the two. In the first case another engine can decode without
// a second prefill. In the second case every other engine rejects the request,
// too, and only a new prefill helps. The outcome of recent retries separates
// the two cases: if engines evict caches early, many requests are affected at
// the same time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>

namespace figlift::dispatch {

class KvReuse {
public:
  /// Whether most of the recent retries with the same KV cache succeeded.
  bool shouldRetry(BootTime Now) const;
  /// Records whether a retry was started or rejected again.
  void recordRetry(bool Started, BootTime Now);

private:
  static constexpr double Smoothing = 0.2;
  /// Below this a second prefill is cheaper than one more rejection.
  static constexpr double MinimumSuccessShare = 0.5;
  /// The failure share decays with this half-life, so that retries resume.
  static constexpr std::chrono::milliseconds HalfLife{1500};

  double failureShare(BootTime Now) const;

  /// Share of rejections among the recent retries, as of m_UpdatedAt.
  double m_FailureShare = 0;
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
