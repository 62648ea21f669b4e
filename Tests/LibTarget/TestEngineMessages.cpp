//===- TestEngineMessages.cpp - Odd answers of engines --------------------===//
//
// Answers that are nested deep in fields that are copied or printed.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/EngineMessages.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::target;

TEST_GROUP(EngineMessages){};

// Failure: an engine decides how deep the agent recurses, and the agent ends by
// a stack overflow.
TEST(EngineMessages, DeepAnswersAreRefused) {
  const std::string Deep =
      std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string &Body :
       {R"({"role":"mixed","models":)" + Deep + "}",
        R"({"role":"mixed","models":[{"name":"m","version":)" + Deep + "}]}",
        R"({"role":"mixed","order_id":)" + Deep + "}"})
    CHECK(!readState(Body).has_value());
  CHECK(!readLoad(R"({"running":)" + Deep + "}").has_value());
  CHECK(!readCacheEvents(R"({"events":)" + Deep + "}").has_value());
  CHECK(!readStreamItem(R"({"kv_handle":)" + Deep + "}").has_value());
  CHECK(readState(R"({"role":"mixed","models":[{"name":"m","version":1}]})")
            .has_value());
}
