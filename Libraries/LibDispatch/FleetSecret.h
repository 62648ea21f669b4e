//===- FleetSecret.h - Secret shared by a fleet -----------------*- C++ -*-===//
//
// Sixteen bytes, stored as hexadecimal. Keys are derived from it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <string>

namespace figlift::dispatch {

using FleetSecret = std::array<unsigned char, 16>;

/// Fails with InvalidInput if \p Text is not 16 bytes in hexadecimal.
Result<FleetSecret> parseFleetSecret(const std::string &Text);

} // namespace figlift::dispatch
