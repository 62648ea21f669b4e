//===- DatagramSeal.cpp - Authenticates datagrams of the fleet ------------===//
//
// Uses SipHash with 128 bits, which takes a microsecond for a datagram of a
// thousand bytes.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DatagramSeal.h"

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

#include <algorithm>

namespace figlift::dispatch {

static_assert(crypto_shorthash_siphashx24_KEYBYTES == 16);
static_assert(crypto_shorthash_siphashx24_BYTES == 16);

std::string DatagramSeal::newSecret() {
  Key Secret;
  randombytes_buf(Secret.data(), Secret.size());
  std::string Text(2 * Secret.size() + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Secret.data(), Secret.size());
  Text.pop_back();
  return Text;
}

Result<DatagramSeal> DatagramSeal::fromSecret(const std::string &Secret) {
  FIGLIFT_TRY(Parsed, parseFleetSecret(Secret));
  return DatagramSeal(Parsed);
}

DatagramSeal::Checksum DatagramSeal::checksum(std::string_view Bytes) const {
  Checksum Sum;
  crypto_shorthash_siphashx24(
      Sum.data(), reinterpret_cast<const unsigned char *>(Bytes.data()),
      Bytes.size(), m_Key.data());
  return Sum;
}

std::string DatagramSeal::seal(char Kind, std::string_view Body) const {
  std::string Sealed(ChecksumBytes, '\0');
  Sealed += Kind;
  Sealed += Body;
  const Checksum Sum = checksum(std::string_view(Sealed).substr(ChecksumBytes));
  std::copy(Sum.begin(), Sum.end(), Sealed.begin());
  return Sealed;
}

std::optional<DatagramSeal::Opened>
DatagramSeal::open(std::string_view Bytes) const {
  if (Bytes.size() <= ChecksumBytes)
    return std::nullopt;
  const std::string_view Content = Bytes.substr(ChecksumBytes);
  const Checksum Expected = checksum(Content);
  if (sodium_memcmp(Bytes.data(), Expected.data(), Expected.size()) != 0)
    return std::nullopt;
  return Opened{Content.front(), Content.substr(1)};
}

} // namespace figlift::dispatch
