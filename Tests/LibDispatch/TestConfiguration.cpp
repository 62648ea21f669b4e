//===- TestConfiguration.cpp - What operators want served -----------------===//
//
// Routes by host and longest prefix, and shares of services.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <random>
#include <string>

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
    InForce.settle();
  }
};

TEST(Configuration, TakesTheLongestPrefixOfTheHost) {
  CHECK(InForce.match("h", "/a/b/c") == &InForce.Routes[1]);
  CHECK(InForce.match("h:80", "/a/x") == &InForce.Routes[0]);
  CHECK(InForce.match("other", "/a/b/c") == &InForce.Routes[2]);
  CHECK(InForce.match("h", "/b/") == nullptr);
  CHECK(InForce.match("unknown", "/a/") == nullptr);
}

TEST(Configuration, TakesTheFirstOfEqualRoutes) {
  InForce.Routes.push_back(InForce.Routes[1]);
  InForce.settle();
  CHECK(InForce.match("h", "/a/b/") == &InForce.Routes[1]);
  CHECK(InForce.match("h", "/a/b") == &InForce.Routes[0]);
  CHECK(InForce.match("h", "") == nullptr);
  CHECK(InForce.match("h", "a/b/") == nullptr);
}

// A search by beginnings of the path finds what a look at each route finds.
TEST(Configuration, FindsWhatALookAtEachRouteFinds) {
  std::mt19937 Random(1);
  const auto Path = [&] {
    std::string Text = "/";
    for (unsigned Left = Random() % 5; Left > 0; --Left)
      Text += std::string(Random() % 3, 'a') + "/";
    return Text;
  };
  InForce.Routes.resize(200);
  for (Route &Each : InForce.Routes) {
    Each.Host = Random() % 2 == 0 ? "h" : "other";
    Each.Prefix = Path();
  }
  InForce.settle();
  for (int Try = 0; Try < 2000; ++Try) {
    const std::string Wanted = Path() + (Random() % 2 == 0 ? "a" : "");
    const Route *Best = nullptr;
    for (const Route &Each : InForce.Routes)
      if (Each.Host == "h" && Wanted.starts_with(Each.Prefix) &&
          (!Best || Each.Prefix.size() > Best->Prefix.size()))
        Best = &Each;
    POINTERS_EQUAL(Best, InForce.match("h", Wanted));
  }
}

TEST(Configuration, PicksServicesByWeight) {
  Route Split;
  Split.Services = {{"x", 90}, {"y", 10}};
  STRCMP_EQUAL("x", pickService(Split, 0).c_str());
  STRCMP_EQUAL("x", pickService(Split, 0.89).c_str());
  STRCMP_EQUAL("y", pickService(Split, 0.91).c_str());
  STRCMP_EQUAL("y", pickService(Split, 0.9999).c_str());
}
