//===- HomeDirectory.cpp - Known homes of one back end --------------------===//
//
// See HomeDirectory.h.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeDirectory.h"

namespace figlift::idempotency {

bool HomeDirectory::learn(SliceId Slice, const Grant &Update) {
  if (Slice >= SliceCount || Update.Epoch <= m_Grants[Slice].Epoch)
    return false;
  m_Grants[Slice] = Update;
  return true;
}

bool HomeDirectory::learn(const GrantTable &Table) {
  bool Changed = false;
  for (SliceId Slice = 0; Slice != SliceCount; ++Slice)
    Changed |= learn(Slice, Table[Slice]);
  return Changed;
}

} // namespace figlift::idempotency
