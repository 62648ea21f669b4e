//===- TestIsolation.cpp - A process that hears of nobody -----------------===//
//
// It may miss an accepted change without knowing, so it must stop taking work.
//
//===----------------------------------------------------------------------===//

#include "Operators.h"

#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;

namespace {

constexpr auto Limit = 20s;

FleetOptions loneEntry() {
  FleetOptions Options = smallFleet();
  Options.Entries = {"entry-1"};
  Options.EntrySettings = {{"limits", {{"isolationBound", "1s"}}}};
  Options.AgentSettings = Options.EntrySettings;
  return Options;
}

} // namespace

TEST_GROUP(Isolation) {
  Fleet m_Fleet{loneEntry()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }
  Answer ask() {
    return call(m_Fleet.callers("entry-1"), "POST", "/v1/completions",
                completionBody("desk", "open?", 4));
  }
  void setLinks(const std::string &Mode) {
    for (const char *Link :
         {"platform:entry-1", "agent:lm-desk-1", "agent:lm-desk-2",
          "agent:booking-core-1", "entry:entry-1"})
      m_Fleet.link(Link, Mode);
  }
};

TEST(Isolation, StopsNewWorkAndSaysSoAndReturnsByItself) {
  // Symptom: an entry that was cut off serves with withdrawn records.
  // Sequence: an entry loses the store and every peer; operators change
  // records elsewhere. Cause: silence that is taken for "nothing changed".
  CHECK_EQUAL(200, ask().Status);
  setLinks("cut");
  Answer Refused;
  CHECK_TRUE(waitUntil(Limit, [&] {
    Refused = ask();
    return Refused.Body.find("isolated") != std::string::npos;
  }));
  CHECK_EQUAL(503, Refused.Status);
  CHECK_EQUAL(206, Refused.resultCode());
  STRCMP_EQUAL("not-run", Refused.executed().c_str());
  CHECK_EQUAL(503, call(m_Fleet.callers("entry-1"), "GET", "/readyz").Status);
  auto [Code, Output] = m_Fleet.control({"status"});
  CHECK_EQUAL(0, Code);
  CHECK_TEXT(Output.find("takes no new work") != std::string::npos,
             Output.c_str());
  for (const char *Agent : {"lm-desk-1", "lm-desk-2", "booking-core-1"})
    CHECK_TRUE_TEXT(
        waitUntil(
            Limit,
            [&] {
              return call(m_Fleet.admin(Agent), "GET", "/readyz").Status == 503;
            }),
        Agent);

  setLinks("pass");
  CHECK_TRUE(waitUntil(Limit, [&] { return ask().Status == 200; }));
  CHECK_EQUAL(200, call(m_Fleet.callers("entry-1"), "GET", "/readyz").Status);
}

TEST(Isolation, GoesOnInAnOutageOfTheStoreAlone) {
  // Symptom: nobody serves in an outage of the store. Sequence: the store is
  // down for several isolation bounds. Cause: an outage that is taken for
  // being cut off, though peers are heard.
  m_Fleet.platformFault("down");
  const auto End = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < End) {
    Answer Got = ask();
    CHECK_EQUAL_TEXT(200, Got.Status, Got.Body.c_str());
  }
}
