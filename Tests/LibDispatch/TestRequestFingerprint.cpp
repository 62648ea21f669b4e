//===- TestRequestFingerprint.cpp - Identifies repeated requests ----------===//
//
// Covers what a fingerprint depends on.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/RequestFingerprint.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(RequestFingerprint) {
  const std::string Secret = DatagramSeal::newSecret();
  const Fingerprinter Source = Fingerprinter::fromSecret(Secret).value();
  const RequestIdentity Request{"POST", "h", "/a/b?c", "", "body"};
};

TEST(RequestFingerprint, IsEqualInOneFleet) {
  const auto Other = Fingerprinter::fromSecret(Secret).value();
  CHECK(Source.of(Request) == Other.of(Request));
  LONGS_EQUAL(32, Source.of(Request).toString().size());
}

TEST(RequestFingerprint, DiffersBetweenFleets) {
  const auto Other =
      Fingerprinter::fromSecret(DatagramSeal::newSecret()).value();
  CHECK(Source.of(Request) != Other.of(Request));
}

TEST(RequestFingerprint, DependsOnEachPart) {
  for (const RequestIdentity &Other :
       {RequestIdentity{"GET", "h", "/a/b?c", "", "body"},
        RequestIdentity{"POST", "i", "/a/b?c", "", "body"},
        RequestIdentity{"POST", "h", "/a/b?d", "", "body"},
        RequestIdentity{"POST", "h", "/a/b?c", "Bearer x", "body"},
        RequestIdentity{"POST", "h", "/a/b?c", "", "bodY"}})
    CHECK(Source.of(Request) != Source.of(Other));
}

// Guards against: prompts without a body are taken for the same request.
TEST(RequestFingerprint, DependsOnPromptParts) {
  const std::array Parts = {PromptPart{1, 100}, PromptPart{2, 100}};
  const std::array Others = {PromptPart{1, 100}, PromptPart{3, 100}};
  RequestIdentity First = Request;
  First.Parts = Parts;
  RequestIdentity Second = Request;
  Second.Parts = Others;
  CHECK(Source.of(First) != Source.of(Second));
  CHECK(Source.of(First) != Source.of(Request));
}

// Guards against: a part that only some services crash on is rejected at all.
TEST(RequestFingerprint, DiffersBetweenServicesForTheSamePart) {
  CHECK(Source.ofPart("a", 1) == Source.ofPart("a", 1));
  CHECK(Source.ofPart("a", 1) != Source.ofPart("b", 1));
  CHECK(Source.ofPart("a", 1) != Source.ofPart("a", 2));
}

// Guards against: requests with the same bytes divided differently between two
// parts have the same fingerprint.
TEST(RequestFingerprint, SeparatesParts) {
  CHECK(Source.of({"POST", "h", "/a", "", "bc"}) !=
        Source.of({"POST", "h", "/ab", "", "c"}));
}

// Guards against: a fingerprint in the log is a valid checksum of a datagram.
TEST(RequestFingerprint, DiffersFromDatagramChecksum) {
  const auto Seal = DatagramSeal::fromSecret(Secret).value();
  const std::string Sealed = Seal.seal('R', "");
  const auto Print = Source.of({"", "", "", "", "R"});
  CHECK(Sealed.compare(0, Print.Bytes.size(),
                       reinterpret_cast<const char *>(Print.Bytes.data()),
                       Print.Bytes.size()) != 0);
}

TEST(RequestFingerprint, RejectsInvalidSecret) {
  CHECK(!Fingerprinter::fromSecret("secret"));
}
