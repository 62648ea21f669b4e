//===- TestStartLags.cpp - Start lags by service and route ----------------===//
//
// Routes of one service do not affect each other.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StartLags.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using Milliseconds = StartLag::Milliseconds;

TEST_GROUP(StartLags) {
  StartLags Lags;
  BootTime Now{std::chrono::seconds(100)};

  void lateAnswers(const std::string &Service, const std::string &Route) {
    for (int Index = 0; Index < 20; ++Index)
      Lags.of(Service, Route)
          .observe(Milliseconds(50), Milliseconds(900), Milliseconds(400), Now);
  }
};

// Urgent requests (100 ms to the first event) were rejected while long requests
// of another route (400 ms) began late: a lag of the service of 240 ms was
// added to the plans of both.
TEST(StartLags, LateRouteDoesNotDelayPlansOfAnotherRoute) {
  lateAnswers("s", "long");
  DOUBLES_EQUAL(240, Lags.of("s", "long").current(Now).count(), 1);
  DOUBLES_EQUAL(0, Lags.of("s", "urgent").current(Now).count(), 1e-9);
}

// The gauge of a service must show the route that is late, and never the routes
// of another service whose name begins alike.
TEST(StartLags, LargestIsTakenOverTheRoutesOfOneService) {
  lateAnswers("s2", "long");
  DOUBLES_EQUAL(0, Lags.largest("s", Now).count(), 1e-9);
  Lags.of("s", "urgent");
  lateAnswers("s", "long");
  DOUBLES_EQUAL(240, Lags.largest("s", Now).count(), 1);
}
