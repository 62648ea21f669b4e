//===- TestConfiguration.cpp - Routes and services of the gateway ---------===//
//
// Covers route lookup by host and longest prefix, and selection of services by
// weight.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(Configuration) {
  Configuration Current;

  void setup() override {
    Current.Routes.resize(3);
    Current.Routes[0].Host = Current.Routes[1].Host = "h";
    Current.Routes[0].Prefix = "/a/";
    Current.Routes[1].Prefix = "/a/b/";
    Current.Routes[2].Host = "other";
    Current.Routes[2].Prefix = "/a/";
    Current.finalize();
  }
};

TEST(Configuration, MatchesLongestPrefixOfHost) {
  CHECK(Current.match("h", "/a/b/c") == &Current.Routes[1]);
  CHECK(Current.match("h:80", "/a/x") == &Current.Routes[0]);
  CHECK(Current.match("other", "/a/b/c") == &Current.Routes[2]);
  CHECK(Current.match("h", "/b/") == nullptr);
  CHECK(Current.match("unknown", "/a/") == nullptr);
}

TEST(Configuration, MatchesFirstOfEqualRoutes) {
  Current.Routes.push_back(Current.Routes[1]);
  Current.finalize();
  CHECK(Current.match("h", "/a/b/") == &Current.Routes[1]);
  CHECK(Current.match("h", "/a/b") == &Current.Routes[0]);
  CHECK(Current.match("h", "") == nullptr);
  CHECK(Current.match("h", "a/b/") == nullptr);
}

// Compares the lookup with a linear search over random routes.
TEST(Configuration, MatchesLikeLinearSearch) {
  std::mt19937 Random(1);
  const auto Path = [&] {
    std::string Text = "/";
    for (unsigned Remaining = Random() % 5; Remaining > 0; --Remaining)
      Text += std::string(Random() % 3, 'a') + "/";
    return Text;
  };
  Current.Routes.resize(200);
  for (Route &Candidate : Current.Routes) {
    Candidate.Host = Random() % 2 == 0 ? "h" : "other";
    Candidate.Prefix = Path();
  }
  Current.finalize();
  for (int I = 0; I < 2000; ++I) {
    const std::string RequestPath = Path() + (Random() % 2 == 0 ? "a" : "");
    const Route *Best = nullptr;
    for (const Route &Candidate : Current.Routes)
      if (Candidate.Host == "h" && RequestPath.starts_with(Candidate.Prefix) &&
          (!Best || Candidate.Prefix.size() > Best->Prefix.size()))
        Best = &Candidate;
    POINTERS_EQUAL(Best, Current.match("h", RequestPath));
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
