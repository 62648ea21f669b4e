//===- RequestFingerprint.cpp - Which requests are the same ---------------===//
//
// SipHash with 128 bits over the parts, each behind its length: a third of the
// time of BLAKE2b.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/RequestFingerprint.h"

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

namespace figlift::dispatch {

static_assert(sizeof(RequestFingerprint::Bytes) ==
              crypto_shorthash_siphashx24_BYTES);

namespace {

constexpr size_t ReservedForTheRest = 256;
constexpr std::string_view KeyPurpose = "figlift request fingerprint";

const uint8_t *bytesOf(std::string_view Text) {
  return reinterpret_cast<const uint8_t *>(Text.data());
}

/// The length keeps two parts from running into each other.
void append(std::string &To, std::string_view Part) {
  const uint64_t Length = Part.size();
  To.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  To += Part;
}

} // namespace

std::string RequestFingerprint::toString() const {
  std::string Text(2 * Bytes.size() + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Bytes.data(), Bytes.size());
  Text.pop_back();
  return Text;
}

Result<Fingerprinter> Fingerprinter::fromSecret(const std::string &Secret) {
  FIGLIFT_TRY(Read, parseFleetSecret(Secret));
  Key Derived;
  crypto_generichash(Derived.data(), Derived.size(), bytesOf(KeyPurpose),
                     KeyPurpose.size(), Read.data(), Read.size());
  return Fingerprinter(Derived);
}

RequestFingerprint Fingerprinter::of(const RequestIdentity &What) const {
  std::string Text;
  Text.reserve(What.Target.size() + What.Body.size() + ReservedForTheRest);
  for (const std::string_view Part :
       {What.Method, What.Host, What.Target, What.Credentials, What.Body})
    append(Text, Part);
  RequestFingerprint Made;
  crypto_shorthash_siphashx24(Made.Bytes.data(), bytesOf(Text), Text.size(),
                              m_Key.data());
  return Made;
}

} // namespace figlift::dispatch
