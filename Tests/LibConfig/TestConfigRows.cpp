//===- TestConfigRows.cpp - Odd rows of the configuration -----------------===//
//
// Rows that are nested deep in fields that are copied or printed.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigRows.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::config;

TEST_GROUP(ConfigRows){};

// Failure: who writes a row decides how deep every reader recurses, and all of
// them end by a stack overflow.
TEST(ConfigRows, DeepRowsAreRefused) {
  const std::string Deep =
      std::string(400'000, '[') + std::string(400'000, ']');
  const auto RowOf = [](std::string Value) {
    return platform::Row{"config/record/backEnd/x", 1, std::move(Value)};
  };
  CHECK(!decodeRecord(
             RowOf(R"({"version":1,"revision":2,"record":)" + Deep + "}"))
             .has_value());
  CHECK(!decodeOperation(RowOf(R"({"revision":2,"records":)" + Deep + "}"))
             .has_value());
  CHECK(!decodeHead(RowOf(Deep)).has_value());
  CHECK(!decodeChange(RowOf(R"({"kind":)" + Deep + "}")).has_value());
}
