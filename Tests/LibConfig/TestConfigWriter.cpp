//===- TestConfigWriter.cpp - Changing the configuration ------------------===//
//
// Changes against the table in memory: racing operators and lost answers at
// every commit.
//
//===----------------------------------------------------------------------===//

#include "FakeTable.h"
#include "LibConfig/ChangeRunner.h"
#include "LibConfig/ConfigSource.h"
#include "LibConfig/Snapshot.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::config;
using figlift::test::FakeTable;
using figlift::test::Fault;

namespace {

Change wishFor(const std::string &Target, const std::string &Intent) {
  return {"target", Target,
          R"({"schemaVersion":1,"kind":"target","name":")" + Target +
              R"(","spec":{"intent":")" + Intent + R"("}})",
          false};
}

ChangeRequest request(const std::string &Id, Change What,
                      std::optional<uint64_t> IfVersion = {}) {
  return {Id, {std::move(What)}, IfVersion};
}

} // namespace

TEST_GROUP(ConfigWriter) {
  FakeTable Table;

  Result<ChangeOutcome> apply(ChangeRequest Request) {
    return applyChange(Table, std::move(Request), {}, [](auto) {});
  }
  void mustApply(ChangeRequest Request) {
    CHECK_TRUE(apply(std::move(Request)).has_value());
  }
  ResultCode codeOf(ChangeRequest Request) {
    auto Outcome = apply(std::move(Request));
    return Outcome ? ResultCode::Success : Outcome.error().Code;
  }
  Delta fetch(uint64_t After) {
    Delta Fetched;
    makeTableSource(Table, nullptr)
        ->fetchChanges(After, [&](Result<Delta> Answer) {
          CHECK_TRUE(Answer.has_value());
          Fetched = std::move(Answer).value();
        });
    return Fetched;
  }
  uint64_t head() { return decodeHead(Table.rowOf("config/head")).value(); }
};

TEST(ConfigWriter, WritesRecordChangeHeadAndOperationTogether) {
  ChangeRequest Both{"op", {wishFor("a", "drain"), wishFor("b", "retire")}, {}};
  auto Outcome = apply(Both);
  CHECK_EQUAL(2u, Outcome.value().Revision);
  CHECK_EQUAL(2u, head());
  CHECK_EQUAL(1u, Table.Commits);
  CHECK_EQUAL(2u, fetch(0).Entries.size());
  CHECK_EQUAL(1u, fetch(1).Entries.size());
  STRCMP_EQUAL("b", fetch(1).Entries[0].Name.c_str());
}

// Symptom: a change that was acknowledged is in force nowhere for as long as an
// outage of the store lasts.
// Sequence: the change is committed; the store goes down before the process
// that committed it has read it back.
// Cause: of its own change it knew only the revision.
TEST(ConfigWriter, TellsWhatItChangedWithoutAnotherRead) {
  const auto First = apply(request("op-1", wishFor("t1", "serve")));
  SnapshotPointer Known = Snapshot::empty()->with(First.value().Changes);
  CHECK(Known != nullptr);
  LONGS_EQUAL(First.value().Revision, Known->revision());
  const auto Second = apply(request("op-2", wishFor("t2", "drain")));
  Known = Known->with(Second.value().Changes);
  CHECK(Known != nullptr);
  LONGS_EQUAL(Second.value().Revision, Known->revision());
  // An operation that is found done says nothing of what it changed.
  const auto Again = apply(request("op-1", wishFor("t1", "serve")));
  LONGS_EQUAL(First.value().Revision, Again.value().Revision);
  LONGS_EQUAL(0, Again.value().Changes.Head);
}

TEST(ConfigWriter, LetsOneOfTwoRacingOperatorsWin) {
  // Symptom: an operator's change is overwritten and nobody is told.
  // Sequence: both read version 1, both write. Cause: the second write does
  // not demand the version that its operator looked at.
  mustApply(request("first", wishFor("a", "drain")));
  CHECK_TRUE(codeOf(request("x", wishFor("a", "serve"), 1)) ==
             ResultCode::Success);
  CHECK_TRUE(codeOf(request("y", wishFor("a", "retire"), 1)) ==
             ResultCode::RecordVersionConflict);
  // The same in between one writer's read and its commit, without a version.
  Table.BeforeCommit = [&] { mustApply(request("p", wishFor("a", "drain"))); };
  CHECK_TRUE(codeOf(request("q", wishFor("a", "serve"))) ==
             ResultCode::RecordVersionConflict);
}

TEST(ConfigWriter, GoesOnWhenAnotherRecordChangedMeanwhile) {
  Table.BeforeCommit = [&] { mustApply(request("p", wishFor("b", "drain"))); };
  CHECK_EQUAL(2u, apply(request("q", wishFor("a", "serve"))).value().Revision);
}

TEST(ConfigWriter, SettlesALostAnswerByReadingBack) {
  // Symptom: a drain is reported as failed and yet in force, or made twice.
  // Sequence: the commit takes effect (or not) and its answer is lost.
  // Cause: no answer is taken for a failure, or sent again blindly.
  for (Fault Lost : {Fault::EffectWithoutAnswer, Fault::LostBeforeEffect}) {
    FakeTable Fresh;
    Fresh.CommitFaults = {Lost};
    auto Outcome = applyChange(Fresh, request("op", wishFor("a", "drain")), {},
                               [](auto) {});
    CHECK_EQUAL(1u, Outcome.value().Revision);
    CHECK_EQUAL(1u, Outcome.value().Records.at(0).Version);
    CHECK_EQUAL(Lost == Fault::EffectWithoutAnswer ? 1u : 2u, Fresh.Commits);
  }
}

TEST(ConfigWriter, NeverClaimsThatNothingWasWrittenWhileACommitIsOpen) {
  // Symptom: "nothing was written" although the change is in force.
  // Sequence: the commit's answer is lost, then the store goes down.
  // Cause: the last failure is reported instead of the worst possible one.
  Table.CommitFaults = {Fault::EffectWithoutAnswer};
  auto Down = [this](auto) { Table.setDown(true); };
  auto Request = request("op", wishFor("a", "drain"));
  auto Outcome = applyChange(Table, Request, {}, Down);
  CHECK_TRUE(Outcome.error().Code == ResultCode::StoreOutcomeUnknown);
  Table.setDown(false);
  // The operator sends the operation again, through whichever entry.
  CHECK_EQUAL(1u, apply(Request).value().Revision);
  CHECK_EQUAL(1u, head());
}

TEST(ConfigWriter, KnowsThatNothingWasWrittenWhenTheStoreIsDown) {
  Table.setDown(true);
  CHECK_TRUE(codeOf(request("op", wishFor("a", "drain"))) ==
             ResultCode::StoreUnavailable);
  Table.setDown(false);
  Table.CommitFaults = {Fault::Down};
  CHECK_TRUE(codeOf(request("op", wishFor("a", "drain"))) ==
             ResultCode::StoreUnavailable);
  CHECK_EQUAL(0u, head());
}

TEST(ConfigWriter, RefusesAnOperationIdOfAnotherChange) {
  mustApply(request("op", wishFor("a", "drain")));
  CHECK_TRUE(codeOf(request("op", wishFor("a", "serve"))) ==
             ResultCode::KeyReusedForOtherRequest);
}

TEST(ConfigWriter, WithdrawsOnceAndKeepsTheTextAsSubmitted) {
  Change Commented = wishFor("a", "drain");
  Commented.Text = "// until friday\n" + Commented.Text;
  mustApply(request("w", Commented));
  STRCMP_EQUAL(Commented.Text.c_str(), fetch(0).Entries[0].Text.c_str());
  Change Gone{"target", "a", "", true};
  CHECK_TRUE(codeOf(request("x", Gone)) == ResultCode::Success);
  CHECK_TRUE(codeOf(request("y", Gone)) == ResultCode::RecordNotFound);
  CHECK_TRUE(fetch(1).Entries.at(0).Withdrawn);
}

TEST(ConfigWriter, HoldsUnderEveryOrderOfFaultsAtItsCommits) {
  // All sequences of three faults at the first three commits: the change is
  // made at most once, and the answer never contradicts the table.
  const Fault All[] = {Fault::None, Fault::Down, Fault::EffectWithoutAnswer,
                       Fault::LostBeforeEffect, Fault::LateEffect};
  for (Fault First : All)
    for (Fault Second : All)
      for (Fault Third : All) {
        FakeTable Fresh;
        Fresh.CommitFaults = {First, Second, Third};
        auto Outcome = applyChange(Fresh, request("op", wishFor("a", "drain")),
                                   {}, [](auto) {});
        auto Row = decodeEntry(Fresh.rowOf("config/record/target/a")).value();
        CHECK_TRUE(Row.Version <= 1);
        if (Outcome) {
          CHECK_EQUAL(1u, Row.Version);
        } else if (Outcome.error().Code != ResultCode::StoreOutcomeUnknown) {
          CHECK_EQUAL(0u, Row.Version);
        }
      }
}

TEST(ConfigWriter, LeavesATableThatCanBeFollowedFromEveryRevision) {
  WriterOptions Few;
  Few.ChangesKept = 10;
  for (unsigned Count = 0; Count < 60; ++Count)
    CHECK_TRUE(
        applyChange(Table,
                    request("op" + std::to_string(Count),
                            wishFor("t" + std::to_string(Count % 7), "drain")),
                    Few, [](auto) {})
            .has_value());
  auto Whole = Snapshot::empty()->with(fetch(0));
  CHECK_EQUAL(60u, Whole->revision());
  for (uint64_t After = 1; After < 60; ++After) {
    Delta Fetched = fetch(After);
    CHECK_EQUAL(60u, Fetched.Head);
    auto Expected = Whole->diffSince(After).Entries;
    CHECK_TRUE(Fetched.Full ? Fetched.Entries.size() == 7
                            : Fetched.Entries == Expected);
  }
}
