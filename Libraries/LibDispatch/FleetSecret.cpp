//===- FleetSecret.cpp - What only the fleet's processes know -------------===//
//
// See FleetSecret.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

namespace figlift::dispatch {

Result<FleetSecret> parseFleetSecret(const std::string &Text) {
  FleetSecret Read;
  size_t Count = 0;
  if (sodium_hex2bin(Read.data(), Read.size(), Text.data(), Text.size(),
                     nullptr, &Count, nullptr) != 0 ||
      Count != Read.size())
    return failure(ResultCode::InvalidInput,
                   "not a secret of 16 bytes in hexadecimal", "secret");
  return Read;
}

} // namespace figlift::dispatch
