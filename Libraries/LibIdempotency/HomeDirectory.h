//===- HomeDirectory.h - Where an entry sends a keyed call ------*- C++ -*-===//
//
// An entry's knowledge of the homes of one back end, from the table, from
// agents' reports and from refusals (HomeMoved). Knowledge may be old; a wrong
// home refuses, so an old line costs a detour and never a second run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/SliceMap.h"

namespace figlift::idempotency {

class HomeDirectory {
public:
  /// Keeps the line with the higher epoch. Returns whether it was news.
  bool learn(SliceId Slice, const Grant &What);
  /// Learns all lines of the table's row.
  bool learn(const GrantTable &Row);

  /// Home of the slice; Home is empty while none is known.
  const Grant &homeOf(SliceId Slice) const { return m_Grants[Slice]; }
  const Grant &homeOf(std::string_view Key) const {
    return m_Grants[sliceOf(Key)];
  }

private:
  GrantTable m_Grants{};
};

} // namespace figlift::idempotency
