//===- FingerprintJson.cpp - Fingerprints and ages as JSON ----------------===//
//
// See FingerprintJson.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/FingerprintJson.h"

#include "LibCore/BoundedJson.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figlift::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;

Json encodeFingerprint(const Fingerprint &Value) {
  return Json::binary(
      std::vector<uint8_t>(Value.Bytes.begin(), Value.Bytes.end()));
}

Result<Fingerprint> decodeFingerprint(const Json &Encoded) {
  Fingerprint Value;
  const auto &Bytes = Encoded.get_binary();
  if (Bytes.size() != Value.Bytes.size())
    return failure(ResultCode::InvalidInput, "a fingerprint has 16 bytes",
                   "fingerprint");
  std::copy(Bytes.begin(), Bytes.end(), Value.Bytes.begin());
  return Value;
}

Result<milliseconds> decodeAge(const Json &Encoded) {
  constexpr int64_t MaximumMs = 1000LL * 3600 * 24 * 365;
  const auto Count = wholeNumber<int64_t>(Encoded);
  if (Count < 0 || Count > MaximumMs)
    return failure(
        ResultCode::InvalidInput,
        "found " + std::to_string(Count) + " ms; allowed: 0 to a year", "age");
  return milliseconds(Count);
}

} // namespace figlift::dispatch
