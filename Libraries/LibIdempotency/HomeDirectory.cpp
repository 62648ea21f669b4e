//===- HomeDirectory.cpp - Where an entry sends a keyed call --------------===//
//
// See HomeDirectory.h.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeDirectory.h"

namespace figlift::idempotency {

bool HomeDirectory::learn(SliceId Slice, const Grant &What) {
  if (Slice >= SliceCount || What.Epoch <= m_Grants[Slice].Epoch)
    return false;
  m_Grants[Slice] = What;
  return true;
}

bool HomeDirectory::learn(const GrantTable &Row) {
  bool News = false;
  for (SliceId Slice = 0; Slice != SliceCount; ++Slice)
    News |= learn(Slice, Row[Slice]);
  return News;
}

} // namespace figlift::idempotency
