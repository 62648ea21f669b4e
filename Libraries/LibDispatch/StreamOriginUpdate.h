//===- StreamOriginUpdate.h - Where streams began, for peers ----*- C++ -*-===//
//
// Streams of one gateway that began at one software version, in a datagram to
// its peers. The client of a stream that breaks may come back to any of them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/StreamKey.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// Where a stream began.
struct StreamOrigin {
  std::string Service;
  std::string SoftwareVersion;

  auto operator<=>(const StreamOrigin &) const = default;
};

struct StreamOriginUpdate {
  StreamOrigin Origin;
  /// None: the store's record has the version, and streams may begin at it.
  std::vector<StreamKey> Streams;
};

/// Encodes as CBOR.
std::string encodeStreamOrigins(const StreamOriginUpdate &Update);
/// Fails with InvalidInput.
Result<StreamOriginUpdate> decodeStreamOrigins(std::string_view Bytes);

} // namespace figlift::dispatch
