//===- RequestFingerprint.h - Identifies repeated requests ------*- C++ -*-===//
//
// A repeated request has another attempt id, and often reaches another gateway.
// Method, host, target, credentials, body and prompt parts stay the same. The
// fingerprint is a hash of these, keyed by the fleet's secret: all gateways of
// a fleet agree on it, and outsiders cannot craft a request with the
// fingerprint of another one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/Prompt.h"

#include <array>
#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace figlift::dispatch {

struct RequestFingerprint {
  std::array<uint8_t, 16> Bytes{};

  auto operator<=>(const RequestFingerprint &) const = default;
  /// Returns the bytes in hexadecimal.
  std::string toString() const;
};

/// Also identifies a prompt part of a service.
using Fingerprint = RequestFingerprint;

/// The parts that identify a request.
struct RequestIdentity {
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  /// Empty if the caller sends none.
  std::string_view Credentials;
  std::string_view Body;
  /// Empty for a request without a prompt. Some callers send prompts that their
  /// parts alone tell apart.
  std::span<const PromptPart> Parts = {};
};

class Fingerprinter {
public:
  /// Fails with InvalidInput if \p Secret is not in the format of
  /// DatagramSeal::newSecret().
  static Result<Fingerprinter> fromSecret(const std::string &Secret);

  RequestFingerprint of(const RequestIdentity &Identity) const;
  /// The fingerprint of a prompt part at the servers of \p Service.
  Fingerprint ofPart(std::string_view Service, uint64_t PartId) const;

private:
  using Key = std::array<uint8_t, 16>;

  explicit Fingerprinter(const Key &Derived) : m_Key(Derived) {}
  Fingerprint hash(std::string_view Text) const;

  /// Derived from the secret. Log lines show fingerprints of content that
  /// callers choose; keyed with the secret itself they would be valid checksums
  /// of a DatagramSeal.
  Key m_Key;
};

} // namespace figlift::dispatch
