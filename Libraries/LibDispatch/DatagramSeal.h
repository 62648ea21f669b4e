//===- DatagramSeal.h - Authenticates datagrams of the fleet ----*- C++ -*-===//
//
// Gateways act on the reports of their peers, for example on the addresses of
// servers and on work in progress. An attacker who could send them datagrams
// could redirect prompts to his own address. So each datagram begins with a
// checksum keyed by a secret that only processes of the fleet can read from the
// store.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace figlift::dispatch {

class DatagramSeal {
public:
  /// Creates a new secret, as hexadecimal text.
  static std::string newSecret();
  /// Fails with InvalidInput if \p Secret is not in the format of newSecret().
  static Result<DatagramSeal> fromSecret(const std::string &Secret);

  /// Prepends the checksum and \p Kind to \p Body.
  std::string seal(char Kind, std::string_view Body) const;
  struct Opened {
    char Kind = 0;
    std::string_view Body;
  };
  /// Returns nothing if the datagram was not sealed with the same secret.
  std::optional<Opened> open(std::string_view Bytes) const;

private:
  static constexpr size_t KeyBytes = 16;
  static constexpr size_t ChecksumBytes = 16;
  using Key = std::array<unsigned char, KeyBytes>;
  using Checksum = std::array<unsigned char, ChecksumBytes>;

  explicit DatagramSeal(const Key &Secret) : m_Key(Secret) {}
  Checksum checksum(std::string_view Bytes) const;

  Key m_Key;
};

} // namespace figlift::dispatch
