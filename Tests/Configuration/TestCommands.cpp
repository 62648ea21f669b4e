//===- TestCommands.cpp - figlift-ctl against real entries ----------------===//
//
// Every command and every exit status, by the binary that operators use.
//
//===----------------------------------------------------------------------===//

#include "Operators.h"

#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto Limit = 15s;

struct Expected {
  std::vector<std::string> Arguments;
  int Code;
  const char *Contains;
};

} // namespace

TEST_GROUP(Commands) {
  Fleet m_Fleet{smallFleet()};
  Operators m_Operators{m_Fleet};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  void expect(const Expected &What) {
    std::string Line;
    for (const std::string &Word : What.Arguments)
      Line += Word + " ";
    Ran Got = m_Operators.run(What.Arguments);
    CHECK_EQUAL_TEXT(What.Code, Got.Code, (Line + Got.Output).c_str());
    CHECK_TEXT(Got.Output.find(What.Contains) != std::string::npos,
               (Line + Got.Output).c_str());
  }
};

TEST(Commands, ShowAndChangeRecordsAndTargets) {
  const std::string File = m_Fleet.writeFile("w.json", workspace("piste", 2));
  const Expected Cases[] = {
      {{"apply", "-f", File, "--if-version", "0", "--wait"}, 0, "in force"},
      {{"get", "workspace", "piste"}, 0, "\"share\": 2"},
      {{"list"}, 0, "piste"},
      {{"list", "backEnd"}, 0, "booking-core"},
      {{"status"}, 0, "lm-desk-1"},
      {{"watch", "--rounds", "2", "--interval", "50ms"}, 0, "serving"},
      {{"explain", "lm-desk-1"}, 0, "target lm-desk-1: serving"},
      {{"drain", "lm-desk-1", "--wait"}, 0, "in force"},
      {{"status"}, 0, "drained"},
      {{"undrain", "lm-desk-1", "--wait"}, 0, "in force"},
      {{"retire", "lm-desk-2", "--wait"}, 0, "in force"},
      {{"undrain", "lm-desk-2", "--wait"}, 0, "in force"},
      {{"withdraw", "workspace", "piste", "--wait"}, 0, "in force"},
      {{"get", "workspace", "piste"}, 3, "RecordNotFound"},
      {{"withdraw", "workspace", "piste"}, 3, "RecordNotFound"},
      {{"drain", "nobody"}, 3, "no target nobody"},
      {{"apply", "-f", File, "--if-version", "7"}, 4, "RecordVersionConflict"},
      {{"teach"}, 2, "no such command"},
      {{"list", "-o", "xml"}, 2, "table, json"},
      {{"apply", "-f", "/nowhere/x.json"}, 2, "can't be read"},
      {{"list", "--operation", "42"}, 2, "operation"},
      {{"list", "--no-such-option"}, 2, "no-such-option"},
  };
  for (const Expected &Each : Cases)
    expect(Each);
}

TEST(Commands, WriteJsonThatReadsBack) {
  const std::string File = m_Fleet.writeFile("w.json", workspace("piste", 2));
  const std::vector<std::vector<std::string>> Cases = {
      {"apply", "-f", File},
      {"get", "workspace", "piste"},
      {"list"},
      {"status"},
      {"explain", "lm-desk-1"},
      {"drain", "lm-desk-1"},
      {"undrain", "lm-desk-1"},
      {"retire", "lm-desk-1"},
      {"withdraw", "workspace", "piste"}};
  for (std::vector<std::string> Words : Cases) {
    Words.insert(Words.end(), {"-o", "json"});
    Ran Got = m_Operators.run(Words);
    CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
    CHECK_FALSE_TEXT(json::parse(Got.Output, nullptr, false).is_discarded(),
                     Got.Output.c_str());
  }
}

TEST(Commands, RefuseABadFileWholeAndNameTheFault) {
  // Symptom: half of a file of records is in force. Sequence: a good record
  // is followed by a bad one. Cause: records that are taken one by one.
  const std::string Engines =
      R"({"schemaVersion": 1, "kind": "backEnd", "name": "other",
          "spec": {"type": "model",
                   "models": [{"name": "m", "version": "1"}], "roles": )";
  const struct {
    std::string Bad;
    const char *Names;
  } Cases[] = {
      {R"({"schemaVersion": 1, "kind": "workspace", "name": "b",
           "spec": {"shares": 2}})",
       "spec.shares"},
      {R"({"schemaVersion": 1, "kind": "workspace", "name": "b",
           "spec": {"share": "two"}})",
       "spec.share"},
      {workspace("b", 0), "spec.share"},
      {R"({"schemaVersion": 3, "kind": "workspace", "name": "b", "spec": {}})",
       "schemaVersion"},
      {Engines + R"({"prefill": 2}}})", "spec.roles.decode"},
      {Engines + R"({"decode": 2}}})", "spec.roles.prefill"},
      {Engines + R"({"mixed": -1}}})", "spec.roles.mixed"},
      {"{\n\"schemaVersion\" 1}", "line 3"},
      {workspace("good", 4), "twice"},
  };
  const auto Head = [this] {
    return call(m_Fleet.platform(), "GET", "/control/rows?prefix=config/head")
        .Body;
  };
  const std::string Before = Head();
  for (const auto &[Bad, Names] : Cases) {
    Ran Got = m_Operators.apply("[" + workspace("good", 3) + ",\n" + Bad + "]");
    CHECK_EQUAL_TEXT(3, Got.Code, (Bad + Got.Output).c_str());
    CHECK_TEXT(Got.Output.find(Names) != std::string::npos,
               (Bad + Got.Output).c_str());
  }
  for (const char *Entry : {"entry-1", "entry-2"})
    CHECK_EQUAL(0u, m_Operators.version(Entry, "workspace", "good"));
  Answer Rows = call(m_Fleet.platform(), "GET",
                     "/control/rows?prefix=config/record/workspace");
  CHECK_TEXT(Rows.Body.find("workspace") == std::string::npos,
             Rows.Body.c_str());
  // The head of the configuration has not moved.
  CHECK_TRUE(Before.find("revision") != std::string::npos);
  STRCMP_EQUAL(Before.c_str(), Head().c_str());
}

TEST(Commands, WaitInVainWhileAProcessIsNotHeardOf) {
  // Symptom: "in force everywhere" is claimed of a process that may lag.
  // Sequence: no entry reaches an agent; a change is committed. Cause: only
  // those who answer are counted.
  m_Fleet.link("agent:lm-desk-1", "cut");
  Ran Got = m_Operators.apply(workspace("piste", 2), {"--wait=1s"});
  CHECK_EQUAL_TEXT(6, Got.Code, Got.Output.c_str());
  CHECK_TEXT(Got.Output.find("lags: target lm-desk-1") != std::string::npos,
             Got.Output.c_str());
  m_Fleet.link("agent:lm-desk-1", "pass");
  Got = m_Operators.apply(workspace("piste", 3), {"--wait=15s"});
  CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
}

TEST(Commands, WaitForEveryEntryThoughOnlyOneIsNamed) {
  // Symptom: an operator who names one entry of two waits in vain. Sequence:
  // a change is in force everywhere. Cause: an entry that has no word of the
  // other's revision.
  const std::string File = m_Fleet.writeFile("w.json", workspace("piste", 2));
  ChildProcess Alone =
      ChildProcess::start("Utilities/figlift-ctl/figlift-ctl",
                          {"--entry", m_Fleet.callers("entry-1"), "apply", "-f",
                           File, "--wait=15s"},
                          m_Fleet.writeFile("alone.log", ""));
  std::optional<int> Code = Alone.waitForExit(20s);
  CHECK_EQUAL_TEXT(0, Code.value_or(-1), Alone.output().c_str());
  CHECK_TEXT(Alone.output().find("in 5 processes") != std::string::npos,
             Alone.output().c_str());
}

TEST(Commands, TellTheTruthWhenTheStoreIsDownOrItsAnswerIsLost) {
  // Symptom: an operator believes a change undone that is in force, or the
  // reverse. Sequence: the store is down before the commit; or the commit's
  // answer is lost and the store is down when it would be read back. Cause:
  // an error that is taken for the outcome.
  m_Fleet.platformFault("down");
  Ran Got = m_Operators.apply(workspace("piste", 1));
  CHECK_EQUAL_TEXT(5, Got.Code, Got.Output.c_str());

  m_Fleet.platformFault("none");
  const std::string Id = freshKey();
  const auto IsCommitted = [&] {
    return call(m_Fleet.platform(), "GET",
                "/control/rows?prefix=config/record/workspace")
               .Body.find("piste") != std::string::npos;
  };
  // The planner may take the fault with a commit of its own, so it is set
  // until the operator's commit has taken effect.
  call(m_Fleet.platform(), "POST", "/control/fault",
       R"({"mode": "effect-without-answer", "scope": "/v1/table/commit"})");
  auto Running =
      m_Operators.applyMeanwhile(workspace("piste", 2), {"--operation", Id});
  CHECK_TRUE(waitUntil(Limit, IsCommitted));
  m_Fleet.platformFault("down");
  Got = Running.get();
  CHECK_EQUAL_TEXT(7, Got.Code, Got.Output.c_str());
  CHECK_TEXT(Got.Output.find(Id) != std::string::npos, Got.Output.c_str());

  m_Fleet.platformFault("none");
  Got = m_Operators.apply(workspace("piste", 2), {"--operation", Id, "--wait"});
  CHECK_EQUAL_TEXT(0, Got.Code, Got.Output.c_str());
  CHECK_EQUAL(1u, m_Operators.version("entry-1", "workspace", "piste"));
}
