//===- TestEndpoint.cpp - Reading of addresses ------------------*- C++ -*-===//
//
// What is an address and what is not.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;

TEST_GROUP(Endpoint){};

TEST(Endpoint, ReadsWhatItPrints) {
  for (const char *Text : {"127.0.0.1:0", "10.1.2.3:65535"})
    CHECK(Endpoint::parse(Text).value().toString() == Text);
}

TEST(Endpoint, RefusesEverythingElse) {
  for (const char *Text :
       {"", ":", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1:8x", "127.0.0.1: 8", "localhost:80",
        "256.0.0.1:80", "1.2.3:80", "::1:80", "127.0.0.1:80 "}) {
    auto Read = Endpoint::parse(Text);
    CHECK_TEXT(!Read, Text);
    CHECK(Read.error().Code == ResultCode::InvalidInput);
    STRCMP_CONTAINS(Text, Read.error().Message.c_str());
  }
}
