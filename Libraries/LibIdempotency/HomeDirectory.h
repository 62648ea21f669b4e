//===- HomeDirectory.h - Known homes of one back end ------------*- C++ -*-===//
//
// Tells an entry to which home it sends a call with an idempotency key. The
// homes are learned from the table, from agents' reports and from refusals
// (HomeMoved), and may be outdated: a process that is not the home refuses the
// call, so an outdated entry costs another attempt but never a second run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/SliceMap.h"

namespace figlift::idempotency {

class HomeDirectory {
public:
  /// Replaces the slice's grant by one with a higher epoch. Returns whether it
  /// did.
  bool learn(SliceId Slice, const Grant &Update);
  /// Learns all grants of \p Table. Returns whether any of them was newer.
  bool learn(const GrantTable &Table);

  /// Last known grant of the slice; its Home is empty while none is known.
  const Grant &homeOf(SliceId Slice) const { return m_Grants[Slice]; }
  const Grant &homeOf(std::string_view Key) const {
    return m_Grants[sliceOf(Key)];
  }

private:
  GrantTable m_Grants{};
};

} // namespace figlift::idempotency
