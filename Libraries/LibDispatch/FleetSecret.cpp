//===- FleetSecret.cpp - Secret shared by a fleet -------------------------===//
//
// See FleetSecret.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

namespace figlift::dispatch {

Result<FleetSecret> parseFleetSecret(const std::string &Text) {
  FleetSecret Secret;
  size_t Count = 0;
  if (sodium_hex2bin(Secret.data(), Secret.size(), Text.data(), Text.size(),
                     nullptr, &Count, nullptr) != 0 ||
      Count != Secret.size())
    return failure(ResultCode::InvalidInput,
                   "not a secret of 16 bytes in hexadecimal", "secret");
  return Secret;
}

} // namespace figlift::dispatch
