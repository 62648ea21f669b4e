//===- TestRequestFingerprint.cpp - Which requests are the same -----------===//
//
// What a fingerprint depends on, and what it does not.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/RequestFingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(RequestFingerprint) {
  const std::string Secret = DatagramSeal::newSecret();
  const Fingerprinter One = Fingerprinter::fromSecret(Secret).value();
  const RequestIdentity What{"POST", "h", "/a/b?c", "", "body"};
};

TEST(RequestFingerprint, IsTheSameAtAllGatewaysOfAFleet) {
  const auto Other = Fingerprinter::fromSecret(Secret).value();
  CHECK(One.of(What) == Other.of(What));
  LONGS_EQUAL(32, One.of(What).toString().size());
}

TEST(RequestFingerprint, DiffersBetweenFleets) {
  const auto Other =
      Fingerprinter::fromSecret(DatagramSeal::newSecret()).value();
  CHECK(One.of(What) != Other.of(What));
}

TEST(RequestFingerprint, DiffersWithEachPartOfTheRequest) {
  for (const RequestIdentity &Other :
       {RequestIdentity{"GET", "h", "/a/b?c", "", "body"},
        RequestIdentity{"POST", "i", "/a/b?c", "", "body"},
        RequestIdentity{"POST", "h", "/a/b?d", "", "body"},
        RequestIdentity{"POST", "h", "/a/b?c", "Bearer x", "body"},
        RequestIdentity{"POST", "h", "/a/b?c", "", "bodY"}})
    CHECK(One.of(What) != One.of(Other));
}

// Failure: bytes that move from one part to the next make another's
// fingerprint.
TEST(RequestFingerprint, KeepsPartsApart) {
  CHECK(One.of({"POST", "h", "/a", "", "bc"}) !=
        One.of({"POST", "h", "/ab", "", "c"}));
}

// Failure: a line of the log shows a caller a checksum that passes for the
// fleet's own.
TEST(RequestFingerprint, IsNoSealOfADatagram) {
  const auto Seal = DatagramSeal::fromSecret(Secret).value();
  const std::string Sealed = Seal.seal('R', "");
  const auto Made = One.of({"", "", "", "", "R"});
  CHECK(Sealed.compare(0, Made.Bytes.size(),
                       reinterpret_cast<const char *>(Made.Bytes.data()),
                       Made.Bytes.size()) != 0);
}

TEST(RequestFingerprint, RefusesWhatIsNoSecret) {
  CHECK(!Fingerprinter::fromSecret("secret"));
}
