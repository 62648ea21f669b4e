//===- RequestCauses.h - How a request could crash a server -----*- C++ -*-===//
//
// What is remembered of a request where servers may crash because of it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/RequestFingerprint.h"

#include <vector>

namespace figlift::dispatch {

struct RequestCauses {
  RequestFingerprint Request;
  /// The prompt parts that other requests may have, too, in prompt order.
  std::vector<Fingerprint> Parts;
};

} // namespace figlift::dispatch
