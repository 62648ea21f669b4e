//===- FleetSecret.h - What only the fleet's processes know -----*- C++ -*-===//
//
// Sixteen bytes in the store, written as hexadecimal. Keys are made from it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <string>

namespace figlift::dispatch {

using FleetSecret = std::array<unsigned char, 16>;

/// Fails with InvalidInput if \p Text is no such secret.
Result<FleetSecret> parseFleetSecret(const std::string &Text);

} // namespace figlift::dispatch
