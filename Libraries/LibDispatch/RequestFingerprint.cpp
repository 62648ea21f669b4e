//===- RequestFingerprint.cpp - Which requests are the same ---------------===//
//
// BLAKE2b with 128 bits over the parts, each behind its length.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/RequestFingerprint.h"

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

namespace figlift::dispatch {

static_assert(sizeof(RequestFingerprint::Bytes) >=
              crypto_generichash_BYTES_MIN);

namespace {

constexpr std::string_view KeyPurpose = "figlift request fingerprint";

const uint8_t *bytesOf(std::string_view Text) {
  return reinterpret_cast<const uint8_t *>(Text.data());
}

/// The length keeps two parts from running into each other.
void update(crypto_generichash_state &State, std::string_view Part) {
  const uint64_t Length = Part.size();
  crypto_generichash_update(&State, reinterpret_cast<const uint8_t *>(&Length),
                            sizeof(Length));
  crypto_generichash_update(&State, bytesOf(Part), Part.size());
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
  RequestFingerprint Made;
  crypto_generichash_state State;
  crypto_generichash_init(&State, m_Key.data(), m_Key.size(),
                          Made.Bytes.size());
  for (const std::string_view Part :
       {What.Method, What.Host, What.Target, What.Credentials, What.Body})
    update(State, Part);
  crypto_generichash_final(&State, Made.Bytes.data(), Made.Bytes.size());
  return Made;
}

} // namespace figlift::dispatch
