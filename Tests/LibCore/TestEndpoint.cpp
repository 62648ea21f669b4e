//===- TestEndpoint.cpp - Parsing of addresses ------------------*- C++ -*-===//
//
// Valid and invalid addresses.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;

TEST_GROUP(Endpoint){};

TEST(Endpoint, ParsesItsOwnText) {
  for (const char *Text : {"127.0.0.1:0", "10.1.2.3:65535"})
    CHECK(Endpoint::parse(Text).value().toString() == Text);
}

TEST(Endpoint, RejectsInvalidAddresses) {
  for (const char *Text :
       {"", ":", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1:8x", "127.0.0.1: 8", "localhost:80",
        "256.0.0.1:80", "1.2.3:80", "::1:80", "127.0.0.1:80 "}) {
    auto Parsed = Endpoint::parse(Text);
    CHECK_TEXT(!Parsed, Text);
    CHECK(Parsed.error().Code == ResultCode::InvalidInput);
    STRCMP_CONTAINS(Text, Parsed.error().Message.c_str());
  }
}
