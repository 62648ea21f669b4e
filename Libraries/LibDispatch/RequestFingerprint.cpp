//===- RequestFingerprint.cpp - Identifies repeated requests --------------===//
//
// SipHash with 128 bits over the parts, each prefixed with its length. It takes
// a third of the time of BLAKE2b.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/RequestFingerprint.h"

#include "LibDispatch/FleetSecret.h"

#include <sodium.h>

namespace figlift::dispatch {

static_assert(sizeof(RequestFingerprint::Bytes) ==
              crypto_shorthash_siphashx24_BYTES);

namespace {

constexpr size_t ReservedForSmallParts = 256;
constexpr std::string_view KeyPurpose = "figlift request fingerprint";

const uint8_t *bytesOf(std::string_view Text) {
  return reinterpret_cast<const uint8_t *>(Text.data());
}

/// The length prefix separates adjacent parts.
void append(std::string &Output, std::string_view Part) {
  const uint64_t Length = Part.size();
  Output.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  Output += Part;
}

} // namespace

std::string RequestFingerprint::toString() const {
  std::string Text(2 * Bytes.size() + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Bytes.data(), Bytes.size());
  Text.pop_back();
  return Text;
}

Result<Fingerprinter> Fingerprinter::fromSecret(const std::string &Secret) {
  FIGLIFT_TRY(Parsed, parseFleetSecret(Secret));
  Key Derived;
  crypto_generichash(Derived.data(), Derived.size(), bytesOf(KeyPurpose),
                     KeyPurpose.size(), Parsed.data(), Parsed.size());
  return Fingerprinter(Derived);
}

RequestFingerprint Fingerprinter::of(const RequestIdentity &Identity) const {
  std::string Text;
  Text.reserve(Identity.Target.size() + Identity.Body.size() +
               ReservedForSmallParts);
  for (const std::string_view Part :
       {Identity.Method, Identity.Host, Identity.Target, Identity.Credentials,
        Identity.Body})
    append(Text, Part);
  for (const PromptPart &Part : Identity.Parts)
    append(Text, {reinterpret_cast<const char *>(&Part.Id), sizeof(Part.Id)});
  return hash(Text);
}

Fingerprint Fingerprinter::ofPart(std::string_view Service,
                                  uint64_t PartId) const {
  std::string Text;
  append(Text, "prompt part");
  append(Text, Service);
  append(Text, {reinterpret_cast<const char *>(&PartId), sizeof(PartId)});
  return hash(Text);
}

Fingerprint Fingerprinter::hash(std::string_view Text) const {
  Fingerprint Hash;
  crypto_shorthash_siphashx24(Hash.Bytes.data(), bytesOf(Text), Text.size(),
                              m_Key.data());
  return Hash;
}

} // namespace figlift::dispatch
