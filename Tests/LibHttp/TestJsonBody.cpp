//===- TestJsonBody.cpp - Nesting depth of JSON bodies --------------------===//
//
// The depth is determined by scanning, before a document is built.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/JsonBody.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace figlift;
using namespace figlift::http;

TEST_GROUP(JsonBody){};

TEST(JsonBody, CountsOpenBracketsOutsideOfStrings) {
  CHECK_FALSE(nestsDeeperThan("[[1],[2],{\"a\":[]}]", 3));
  CHECK_TRUE(nestsDeeperThan("[[1],[2],{\"a\":[]}]", 2));
  CHECK_FALSE(nestsDeeperThan("[\"[[[[\\\"[[\"]", 1));
  CHECK_FALSE(nestsDeeperThan("]]]][", 1));
}

TEST(JsonBody, RejectsDeepNestingWithFieldBody) {
  // Symptom: a body of two megabytes takes over a hundred megabytes of memory.
  // Sequence: the body consists of open brackets.
  // Cause: the JSON parser allocates a record for each of them.
  const auto Deep = parseJsonBody(std::string(2 << 20, '['));
  CHECK_FALSE(Deep.has_value());
  STRCMP_EQUAL("body", Deep.error().Field.c_str());
  const std::string Allowed =
      std::string(MaximumJsonDepth, '[') + std::string(MaximumJsonDepth, ']');
  CHECK_TRUE(parseJsonBody(Allowed).has_value());
  CHECK_FALSE(parseJsonBody("{\"a\":").has_value());
}
