//===- Digest.cpp - Digest of several strings -----------------------------===//
//
// See Digest.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Digest.h"

#include <xxhash.h>

#include <cstdio>

namespace figlift::entry {

std::string digestOf(std::initializer_list<std::string_view> Parts) {
  std::string Encoded;
  for (const std::string_view Part : Parts)
    Encoded.append(std::to_string(Part.size())).append(":").append(Part);
  const XXH128_hash_t Hash = XXH3_128bits(Encoded.data(), Encoded.size());
  char Text[33];
  std::snprintf(Text, sizeof Text, "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Text;
}

} // namespace figlift::entry
