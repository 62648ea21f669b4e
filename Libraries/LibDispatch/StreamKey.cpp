//===- StreamKey.cpp - Names a stream of events ---------------------------===//
//
// XXH3 with 128 bits: a collision within the streams that a gateway remembers
// is practically impossible, and would only bind a stream to a version.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamKey.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace figlift::dispatch {

StreamKey StreamKey::of(std::string_view Tenant, std::string_view AttemptId) {
  std::string Text(Tenant);
  // Header values contain no zero byte, so no two pairs give the same text.
  Text += '\0';
  Text += AttemptId;
  XXH128_canonical_t Canonical;
  XXH128_canonicalFromHash(&Canonical, XXH3_128bits(Text.data(), Text.size()));
  StreamKey Key;
  std::copy(std::begin(Canonical.digest), std::end(Canonical.digest),
            Key.Bytes.begin());
  return Key;
}

} // namespace figlift::dispatch
