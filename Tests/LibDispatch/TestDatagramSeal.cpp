//===- TestDatagramSeal.cpp - Datagrams of this fleet and of others -------===//
//
// Sealed, changed, cut, and sealed by somebody else.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DatagramSeal.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(DatagramSeal) {
  const DatagramSeal Seal =
      DatagramSeal::fromSecret(DatagramSeal::newSecret()).value();
};

TEST(DatagramSeal, OpensWhatItSealed) {
  const std::string Bytes = Seal.seal('R', "body");
  const auto Opened = Seal.open(Bytes);
  CHECK(Opened.has_value());
  CHECK(Opened->Kind == 'R');
  CHECK(Opened->Body == "body");
}

// Symptom: prompts go to an address that is no server's.
// Sequence: somebody sends a gateway a datagram that names a new server.
// Cause: whoever sent it was believed.
TEST(DatagramSeal, RefusesWhatOthersSealedOrChanged) {
  const auto Other =
      DatagramSeal::fromSecret(DatagramSeal::newSecret()).value();
  CHECK(!Seal.open(Other.seal('R', "body")));
  const std::string Bytes = Seal.seal('R', "body");
  for (size_t At = 0; At < Bytes.size(); ++At) {
    std::string Changed = Bytes;
    Changed[At] = static_cast<char>(Changed[At] ^ 1);
    CHECK(!Seal.open(Changed));
    CHECK(!Seal.open(Bytes.substr(0, At)));
  }
}

TEST(DatagramSeal, RefusesSecretsThatAreNone) {
  for (const char *Text :
       {"", "00", "zz", "00112233445566778899aabbccddeeff00"})
    CHECK(!DatagramSeal::fromSecret(Text).has_value());
}
