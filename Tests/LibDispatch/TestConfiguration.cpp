//===- TestConfiguration.cpp - What operators want served -----------------===//
//
// Routes by host and longest prefix, and shares of services.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(Configuration) {
  Configuration InForce;

  void setup() override {
    InForce.Routes.resize(3);
    InForce.Routes[0].Host = InForce.Routes[1].Host = "h";
    InForce.Routes[0].Prefix = "/a/";
    InForce.Routes[1].Prefix = "/a/b/";
    InForce.Routes[2].Host = "other";
    InForce.Routes[2].Prefix = "/a/";
  }
};

TEST(Configuration, TakesTheLongestPrefixOfTheHost) {
  CHECK(InForce.match("h", "/a/b/c") == &InForce.Routes[1]);
  CHECK(InForce.match("h:80", "/a/x") == &InForce.Routes[0]);
  CHECK(InForce.match("other", "/a/b/c") == &InForce.Routes[2]);
  CHECK(InForce.match("h", "/b/") == nullptr);
  CHECK(InForce.match("unknown", "/a/") == nullptr);
}

TEST(Configuration, PicksServicesByWeight) {
  Route Split;
  Split.Services = {{"x", 90}, {"y", 10}};
  STRCMP_EQUAL("x", pickService(Split, 0).c_str());
  STRCMP_EQUAL("x", pickService(Split, 0.89).c_str());
  STRCMP_EQUAL("y", pickService(Split, 0.91).c_str());
  STRCMP_EQUAL("y", pickService(Split, 0.9999).c_str());
}
