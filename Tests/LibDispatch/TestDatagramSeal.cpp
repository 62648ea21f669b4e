//===- TestDatagramSeal.cpp - Authentication of datagrams -----------------===//
//
// Covers datagrams that are valid, changed, truncated, or sealed with another
// secret.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DatagramSeal.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(DatagramSeal) {
  const DatagramSeal Seal =
      DatagramSeal::fromSecret(DatagramSeal::newSecret()).value();
};

TEST(DatagramSeal, OpensSealedDatagram) {
  const std::string Bytes = Seal.seal('R', "body");
  const auto Opened = Seal.open(Bytes);
  CHECK(Opened.has_value());
  CHECK(Opened->Kind == 'R');
  CHECK(Opened->Body == "body");
}

// Guards against: a datagram from outside the fleet names a new server, and
// prompts are sent to that address.
TEST(DatagramSeal, RejectsForeignAndChangedDatagrams) {
  const auto Other =
      DatagramSeal::fromSecret(DatagramSeal::newSecret()).value();
  CHECK(!Seal.open(Other.seal('R', "body")));
  const std::string Bytes = Seal.seal('R', "body");
  for (size_t I = 0; I < Bytes.size(); ++I) {
    std::string Changed = Bytes;
    Changed[I] = static_cast<char>(Changed[I] ^ 1);
    CHECK(!Seal.open(Changed));
    CHECK(!Seal.open(Bytes.substr(0, I)));
  }
}

TEST(DatagramSeal, RejectsInvalidSecrets) {
  for (const char *Text :
       {"", "00", "zz", "00112233445566778899aabbccddeeff00"})
    CHECK(!DatagramSeal::fromSecret(Text).has_value());
}
