//===- RequestFingerprint.h - Which requests are the same -------*- C++ -*-===//
//
// A request that comes again has another attempt id, and often another gateway.
// What stays is what its caller asks for: method, host, target, credentials and
// body. The fingerprint is a hash of these, keyed by the fleet's secret, so
// that all gateways of a fleet agree on it and nobody else can craft a request
// that shares another's.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace figlift::dispatch {

struct RequestFingerprint {
  std::array<uint8_t, 16> Bytes{};

  auto operator<=>(const RequestFingerprint &) const = default;
  /// Hexadecimal.
  std::string toString() const;
};

/// What makes two requests the same one.
struct RequestIdentity {
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  /// Empty where the caller shows none.
  std::string_view Credentials;
  std::string_view Body;
};

class Fingerprinter {
public:
  /// Fails with InvalidInput if \p Secret is none that
  /// DatagramSeal::newSecret() made.
  static Result<Fingerprinter> fromSecret(const std::string &Secret);

  RequestFingerprint of(const RequestIdentity &What) const;

private:
  using Key = std::array<uint8_t, 16>;

  explicit Fingerprinter(const Key &Derived) : m_Key(Derived) {}

  /// Derived from the secret: log lines show fingerprints of texts that callers
  /// choose, and with the secret itself as key these would be checksums that
  /// DatagramSeal takes for the fleet's own.
  Key m_Key;
};

} // namespace figlift::dispatch
