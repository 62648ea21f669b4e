//===- DatagramSeal.h - Proves that a datagram is of this fleet -*- C++ -*-===//
//
// Gateways believe what their peers tell: where servers are, and what work is
// under way. Whoever could send them datagrams could have prompts sent to an
// address of his own. So each datagram begins with a checksum keyed by a
// secret that only the fleet's processes can read in the store.
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
  /// A new secret, as text.
  static std::string newSecret();
  /// Fails with InvalidInput if \p Secret is none that newSecret() made.
  static Result<DatagramSeal> fromSecret(const std::string &Secret);

  /// \p Body with its kind and checksum in front.
  std::string seal(char Kind, std::string_view Body) const;
  struct Opened {
    char Kind = 0;
    std::string_view Body;
  };
  /// Nothing if it was not sealed with the same secret.
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
