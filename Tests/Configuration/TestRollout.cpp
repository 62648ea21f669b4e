//===- TestRollout.cpp - An accepted change arrives and stays -------------===//
//
// Changes against races, lost answers, outages of the store and processes that
// are cut off or restarted.
//
//===----------------------------------------------------------------------===//

#include "Operators.h"
#include "RevisionWatch.h"

#include "Support/WaitUntil.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto Limit = 20s;
const std::vector<std::string> Entries{"entry-1", "entry-2"};
const std::vector<std::string> Targets{"lm-desk-1", "lm-desk-2",
                                       "booking-core-1"};

} // namespace

TEST_GROUP(Rollout) {
  Fleet m_Fleet{smallFleet()};
  Operators m_Operators{m_Fleet};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  uint64_t head() { return entryRevision(m_Fleet, "entry-1"); }

  bool arrives(uint64_t Revision, const std::vector<std::string> &AtEntries,
               const std::vector<std::string> &AtTargets) {
    return waitUntil(Limit, [&] {
      return everywhere(m_Fleet, Revision, AtEntries, AtTargets);
    });
  }
  std::string revisions() {
    std::string Text;
    for (const std::string &Id : Entries)
      Text += Id + " " + std::to_string(entryRevision(m_Fleet, Id)) + ", ";
    for (const std::string &Id : Targets)
      Text += Id + " " + std::to_string(agentRevision(m_Fleet, Id)) + ", ";
    return Text;
  }
  /// Applies a change that must succeed; returns its revision.
  uint64_t change(unsigned Share) {
    Ran Got = m_Operators.apply(workspace("piste", Share), {"-o", "json"});
    CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
    return json::parse(Got.Output)["revision"].get<uint64_t>();
  }
  void checkNoFalls(RevisionWatch & Watch) {
    std::string Text;
    for (const std::string &Line : Watch.stop())
      Text += Line + "\n";
    CHECK_TEXT(Text.empty(), Text.c_str());
    CHECK_TRUE(Watch.answers() > 0);
  }
};

TEST(Rollout, IsInForceEverywhereWithinSecondsAndNeverFalls) {
  // Symptom: a process serves with an old revision, or goes back to one.
  // Sequence: many changes, one after another, while entries push to agents
  // and all ask one another. Cause: an update that is lost or overtaken.
  RevisionWatch Watch(m_Fleet, Entries, Targets);
  std::vector<std::chrono::milliseconds> Times;
  for (unsigned Number = 1; Number <= 20; ++Number) {
    const uint64_t Revision = change(Number);
    const auto Begin = std::chrono::steady_clock::now();
    CHECK_TEXT(arrives(Revision, Entries, Targets), revisions().c_str());
    Times.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - Begin));
  }
  checkNoFalls(Watch);
  std::sort(Times.begin(), Times.end());
  UT_PRINT(("from the commit's answer until in force in 5 processes: p50 " +
            std::to_string(Times[Times.size() / 2].count()) + " ms, max " +
            std::to_string(Times.back().count()) + " ms")
               .c_str());
}

TEST(Rollout, LetsOneOfTwoRacingOperatorsWin) {
  // Symptom: an operator's change is overwritten unseen. Sequence: two read
  // version N and submit at the same time. Cause: a write that does not
  // depend on the version that was read.
  RevisionWatch Watch(m_Fleet, Entries, Targets);
  CHECK_TRUE(arrives(change(1), Entries, Targets));
  for (unsigned Round = 0; Round < 6; ++Round) {
    const bool Conditional = Round % 2 == 0;
    const uint64_t Before =
        m_Operators.version("entry-1", "workspace", "piste");
    std::vector<std::string> More;
    if (Conditional)
      More = {"--if-version", std::to_string(Before)};
    auto First =
        m_Operators.applyMeanwhile(workspace("piste", 100 + Round), More);
    auto Second =
        m_Operators.applyMeanwhile(workspace("piste", 200 + Round), More);
    const Ran One = First.get(), Two = Second.get();
    const std::string Text = One.Output + Two.Output;
    for (const Ran &Each : {One, Two})
      CHECK_TEXT(Each.Code == 0 || Each.Code == 4, Text.c_str());
    const unsigned Won = (One.Code == 0) + (Two.Code == 0);
    CHECK_TEXT(Conditional ? Won == 1 : Won >= 1, Text.c_str());
    for (const std::string &Entry : Entries)
      CHECK_TEXT(waitUntil(Limit,
                           [&] {
                             return m_Operators.version(Entry, "workspace",
                                                        "piste") ==
                                    Before + Won;
                           }),
                 Text.c_str());
    STRCMP_EQUAL(m_Operators.text("entry-1", "workspace", "piste").c_str(),
                 m_Operators.text("entry-2", "workspace", "piste").c_str());
  }
  checkNoFalls(Watch);
}

TEST(Rollout, MakesAChangeOnceWhateverHappensToTheCommitsAnswer) {
  // Symptom: a change is made twice, or reported failed and in force.
  // Sequence: the answer to the commit is lost, once after and once before
  // its effect. Cause: a commit that is repeated, or given up, blindly.
  CHECK_TRUE(arrives(change(1), Entries, Targets));
  for (const char *Mode :
       {"effect-without-answer", "answer-lost-before-effect"})
    for (unsigned Count : {1u, 2u}) {
      const uint64_t Before =
          m_Operators.version("entry-1", "workspace", "piste");
      m_Fleet.platformFault(Mode, {}, Count);
      Ran Got = m_Operators.apply(workspace("piste", 2), {"--wait=15s"});
      CHECK_EQUAL_TEXT(0, Got.Code, (Mode + Got.Output).c_str());
      for (const std::string &Entry : Entries)
        CHECK_EQUAL_TEXT(
            Before + 1, m_Operators.version(Entry, "workspace", "piste"), Mode);
      m_Fleet.platformFault("none");
    }
}

TEST(Rollout, SpreadsWhatWasAcceptedJustBeforeAnOutage) {
  // Symptom: half of the fleet serves with the old records for as long as an
  // outage lasts. Sequence: a change is committed through one entry, then the
  // store goes down. Cause: processes that learn of changes from the store
  // alone.
  RevisionWatch Watch(m_Fleet, Entries, Targets);
  for (const char *CutOff : {"platform:entry-2", "platform:lm-desk-1"})
    m_Fleet.link(CutOff, "cut");
  const uint64_t Revision = change(3);
  m_Fleet.platformFault("down");
  CHECK_TEXT(arrives(Revision, Entries, Targets), revisions().c_str());
  for (const std::string &Entry : Entries)
    CHECK_EQUAL(200, call(m_Fleet.callers(Entry), "POST", "/v1/completions",
                          completionBody("desk", "open?", 4))
                         .Status);
  m_Fleet.platformFault("none");
  for (const char *CutOff : {"platform:entry-2", "platform:lm-desk-1"})
    m_Fleet.link(CutOff, "pass");
  const uint64_t Next = change(4);
  CHECK_TEXT(arrives(Next, Entries, Targets), revisions().c_str());
  checkNoFalls(Watch);
}

TEST(Rollout, BringsRestartedProcessesUpToDateDuringAnOutage) {
  // Symptom: a process that was replaced in an outage serves with nothing or
  // with old records. Sequence: the table is down; an entry and an agent are
  // killed and start again. Cause: a start that needs the table.
  const uint64_t Revision = change(5);
  CHECK_TEXT(arrives(Revision, Entries, Targets), revisions().c_str());
  call(m_Fleet.platform(), "POST", "/control/fault",
       R"({"mode": "down", "scope": "/v1/table"})");
  for (const char *Name : {"entry-2", "lm-desk-1"}) {
    m_Fleet.process(Name).kill();
    CHECK_TRUE(m_Fleet.process(Name).waitForExit(Limit).has_value());
    m_Fleet.restart(Name);
  }
  CHECK_TEXT(arrives(Revision, Entries, Targets), revisions().c_str());
  CHECK_TRUE(waitUntil(Limit, [&] {
    return call(m_Fleet.callers("entry-2"), "POST", "/v1/completions",
                completionBody("desk", "open?", 4))
               .Status == 200;
  }));
  m_Fleet.platformFault("none");
  const uint64_t Next = change(6);
  CHECK_TEXT(arrives(Next, Entries, Targets), revisions().c_str());
}

TEST(Rollout, StartsWithTheNewestRevisionOfASeedWhenAllOfThePlatformIsDown) {
  // Symptom: an entry that starts while the whole platform is down comes up
  // with an older configuration than was accepted. Sequence: restart in an
  // outage of table and list. Cause: no other source than the platform.
  const uint64_t Revision = change(7);
  const std::string First = m_Fleet.callers("entry-1");
  const std::string Seed = First.substr(0, First.find(':')) + ":7101";
  const std::string File =
      std::filesystem::path(m_Fleet.writeFile("folder", ""))
          .replace_filename("entry-2.json");
  std::ifstream Stream(File);
  json Settings = json::parse(Stream);
  Settings["peers"] = {Seed};
  m_Fleet.writeFile("entry-2.json", Settings.dump());
  m_Fleet.platformFault("down");
  m_Fleet.process("entry-2").kill();
  CHECK_TRUE(m_Fleet.process("entry-2").waitForExit(Limit).has_value());
  m_Fleet.restart("entry-2");
  CHECK_TRUE(waitUntil(Limit, [&] {
    return m_Operators.version("entry-2", "workspace", "piste") == 1;
  }));
  // It does not know the targets: the list is the platform's.
  Answer Got = call(m_Fleet.callers("entry-2"), "POST", "/v1/completions",
                    completionBody("desk", "open?", 4));
  CHECK_EQUAL(503, Got.Status);
  STRCMP_EQUAL("not-run", Got.executed().c_str());
  m_Fleet.platformFault("none");
  CHECK_TEXT(arrives(Revision, Entries, Targets), revisions().c_str());
  CHECK_TRUE(waitUntil(Limit, [&] {
    return call(m_Fleet.callers("entry-2"), "GET", "/readyz").Status == 200;
  }));
}

TEST(Rollout, HoldsRecordsOfBothSchemaVersions) {
  // Symptom: a team's old record stops being served when another team moves
  // on. Sequence: records of version 1 and 2 in one operation, then each is
  // changed to the other version. Cause: one schema version for all records.
  Ran Got = m_Operators.apply("[" + workspace("old", 1) + "," +
                                  workspace("new", 2, 2) + "]",
                              {"--wait=15s"});
  CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
  Got = m_Operators.apply("[" + workspace("old", 3, 2) + "," +
                              workspace("new", 4) + "]",
                          {"--wait=15s"});
  CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
  for (const std::string &Entry : Entries) {
    STRCMP_EQUAL(workspace("old", 3, 2).c_str(),
                 m_Operators.text(Entry, "workspace", "old").c_str());
    STRCMP_EQUAL(workspace("new", 4).c_str(),
                 m_Operators.text(Entry, "workspace", "new").c_str());
    for (const char *Name : {"old", "new"})
      CHECK_EQUAL(200, call(m_Fleet.callers(Entry), "POST", "/v1/completions",
                            completionBody("desk", "open?", 4),
                            {{"X-Figlift-Workspace", Name}})
                           .Status);
  }
}
