//===- FingerprintJson.h - Fingerprints and ages as JSON --------*- C++ -*-===//
//
// Values that gateways exchange about crashes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/RequestFingerprint.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace figlift::dispatch {

nlohmann::json encodeFingerprint(const Fingerprint &Value);
/// Fails with InvalidInput. Throws nlohmann::json::exception for other types.
Result<Fingerprint> decodeFingerprint(const nlohmann::json &Encoded);

/// Decodes milliseconds. Fails with InvalidInput for ages that no sender
/// writes: negative ones, or more than a year. Throws
/// nlohmann::json::exception for other types.
Result<std::chrono::milliseconds> decodeAge(const nlohmann::json &Encoded);

} // namespace figlift::dispatch
