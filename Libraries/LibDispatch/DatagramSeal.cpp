//===- DatagramSeal.cpp - Proves that a datagram is of this fleet ---------===//
//
// SipHash with 128 bits; a microsecond for a datagram of a thousand bytes.
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
  Key Made;
  randombytes_buf(Made.data(), Made.size());
  std::string Text(2 * Made.size() + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Made.data(), Made.size());
  Text.pop_back();
  return Text;
}

Result<DatagramSeal> DatagramSeal::fromSecret(const std::string &Secret) {
  FIGLIFT_TRY(Read, parseFleetSecret(Secret));
  return DatagramSeal(Read);
}

DatagramSeal::Checksum DatagramSeal::checksum(std::string_view Bytes) const {
  Checksum Made;
  crypto_shorthash_siphashx24(
      Made.data(), reinterpret_cast<const unsigned char *>(Bytes.data()),
      Bytes.size(), m_Key.data());
  return Made;
}

std::string DatagramSeal::seal(char Kind, std::string_view Body) const {
  std::string Sealed(ChecksumBytes, '\0');
  Sealed += Kind;
  Sealed += Body;
  const Checksum Made =
      checksum(std::string_view(Sealed).substr(ChecksumBytes));
  std::copy(Made.begin(), Made.end(), Sealed.begin());
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
