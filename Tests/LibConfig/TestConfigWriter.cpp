//===- TestConfigWriter.cpp - Changing the configuration ------------------===//
//
// Changes at an in-memory table: concurrent operators, and lost responses at
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

Change targetChange(const std::string &Target, const std::string &Intent) {
  return {"target", Target,
          R"({"schemaVersion":1,"kind":"target","name":")" + Target +
              R"(","spec":{"intent":")" + Intent + R"("}})",
          false};
}

ChangeRequest request(const std::string &Id, Change Change,
                      std::optional<uint64_t> IfVersion = {}) {
  return {Id, {std::move(Change)}, IfVersion};
}

} // namespace

TEST_GROUP(ConfigWriter) {
  FakeTable Table;

  Result<ChangeOutcome> apply(ChangeRequest Request) {
    return applyChange(Table, std::move(Request), {}, [](auto) {});
  }
  void applySuccessfully(ChangeRequest Request) {
    CHECK_TRUE(apply(std::move(Request)).has_value());
  }
  ResultCode codeOf(ChangeRequest Request) {
    auto Outcome = apply(std::move(Request));
    return Outcome ? ResultCode::Success : Outcome.error().Code;
  }
  Delta fetch(uint64_t After) {
    Delta Fetched;
    makeTableSource(Table, nullptr)
        ->fetchChanges(After, [&](Result<Delta> Result) {
          CHECK_TRUE(Result.has_value());
          Fetched = std::move(Result).value();
        });
    return Fetched;
  }
  uint64_t head() { return decodeHead(Table.rowOf("config/head")).value(); }
};

TEST(ConfigWriter, WritesRecordChangeHeadAndOperationTogether) {
  ChangeRequest Both{
      "op", {targetChange("a", "drain"), targetChange("b", "retire")}, {}};
  auto Outcome = apply(Both);
  CHECK_EQUAL(2u, Outcome.value().Revision);
  CHECK_EQUAL(2u, head());
  CHECK_EQUAL(1u, Table.CommitCount);
  CHECK_EQUAL(2u, fetch(0).Records.size());
  CHECK_EQUAL(1u, fetch(1).Records.size());
  STRCMP_EQUAL("b", fetch(1).Records[0].Name.c_str());
}

// Guards against an acknowledged change that is not in force anywhere during an
// outage: the store goes down before the committing process has read its change
// back, so the outcome must contain the change itself and not only its
// revision.
TEST(ConfigWriter, ReturnsItsChangesWithoutAnotherRead) {
  const auto First = apply(request("op-1", targetChange("t1", "serve")));
  SnapshotPointer Current = Snapshot::empty()->apply(First.value().Changes);
  CHECK(Current != nullptr);
  LONGS_EQUAL(First.value().Revision, Current->revision());
  const auto Second = apply(request("op-2", targetChange("t2", "drain")));
  Current = Current->apply(Second.value().Changes);
  CHECK(Current != nullptr);
  LONGS_EQUAL(Second.value().Revision, Current->revision());
  // The outcome of an operation that was already applied contains no changes.
  const auto Again = apply(request("op-1", targetChange("t1", "serve")));
  LONGS_EQUAL(First.value().Revision, Again.value().Revision);
  LONGS_EQUAL(0, Again.value().Changes.Head);
}

TEST(ConfigWriter, LetsOneOfTwoConcurrentOperatorsWin) {
  // Guards against silently overwriting an operator's change: two operators
  // read version 1 and both write, so the second write must be conditioned on
  // the version that its operator has seen.
  applySuccessfully(request("first", targetChange("a", "drain")));
  CHECK_TRUE(codeOf(request("x", targetChange("a", "serve"), 1)) ==
             ResultCode::Success);
  CHECK_TRUE(codeOf(request("y", targetChange("a", "retire"), 1)) ==
             ResultCode::RecordVersionConflict);
  // The same without a version, between the read and the commit of one writer.
  Table.BeforeCommit = [&] {
    applySuccessfully(request("p", targetChange("a", "drain")));
  };
  CHECK_TRUE(codeOf(request("q", targetChange("a", "serve"))) ==
             ResultCode::RecordVersionConflict);
}

TEST(ConfigWriter, SucceedsIfAnotherRecordChangesConcurrently) {
  Table.BeforeCommit = [&] {
    applySuccessfully(request("p", targetChange("b", "drain")));
  };
  CHECK_EQUAL(2u,
              apply(request("q", targetChange("a", "serve"))).value().Revision);
}

TEST(ConfigWriter, ResolvesALostResponseByReadingAgain) {
  // Guards against a drain that is reported as failed although it is in force,
  // or that is applied twice: the response of the commit is lost, with or
  // without effect, and must be neither treated as an error nor retried
  // blindly.
  for (Fault Lost : {Fault::EffectWithLostResponse, Fault::LostWithoutEffect}) {
    FakeTable Fresh;
    Fresh.CommitFaults = {Lost};
    auto Outcome = applyChange(Fresh, request("op", targetChange("a", "drain")),
                               {}, [](auto) {});
    CHECK_EQUAL(1u, Outcome.value().Revision);
    CHECK_EQUAL(1u, Outcome.value().Records.at(0).Version);
    CHECK_EQUAL(Lost == Fault::EffectWithLostResponse ? 1u : 2u,
                Fresh.CommitCount);
  }
}

TEST(ConfigWriter, NeverReportsNothingWrittenWhileACommitIsUnresolved) {
  // Guards against reporting that nothing was written although the change takes
  // effect: the response of the commit is lost, then the store goes down, and
  // the last error must not hide the unknown outcome.
  Table.CommitFaults = {Fault::EffectWithLostResponse};
  auto Down = [this](auto) { Table.setDown(true); };
  auto Request = request("op", targetChange("a", "drain"));
  auto Outcome = applyChange(Table, Request, {}, Down);
  CHECK_TRUE(Outcome.error().Code == ResultCode::StoreOutcomeUnknown);
  Table.setDown(false);
  // The operator retries the operation, possibly through another entry.
  CHECK_EQUAL(1u, apply(Request).value().Revision);
  CHECK_EQUAL(1u, head());
}

TEST(ConfigWriter, KnowsThatNothingWasWrittenWhenTheStoreIsDown) {
  Table.setDown(true);
  CHECK_TRUE(codeOf(request("op", targetChange("a", "drain"))) ==
             ResultCode::StoreUnavailable);
  Table.setDown(false);
  Table.CommitFaults = {Fault::Down};
  CHECK_TRUE(codeOf(request("op", targetChange("a", "drain"))) ==
             ResultCode::StoreUnavailable);
  CHECK_EQUAL(0u, head());
}

TEST(ConfigWriter, RefusesAnOperationIdOfAnotherChange) {
  applySuccessfully(request("op", targetChange("a", "drain")));
  CHECK_TRUE(codeOf(request("op", targetChange("a", "serve"))) ==
             ResultCode::KeyReusedForOtherRequest);
}

TEST(ConfigWriter, WithdrawsOnceAndKeepsTheTextAsSubmitted) {
  Change Commented = targetChange("a", "drain");
  Commented.Text = "// until friday\n" + Commented.Text;
  applySuccessfully(request("w", Commented));
  STRCMP_EQUAL(Commented.Text.c_str(), fetch(0).Records[0].Text.c_str());
  Change Withdrawal{"target", "a", "", true};
  CHECK_TRUE(codeOf(request("x", Withdrawal)) == ResultCode::Success);
  CHECK_TRUE(codeOf(request("y", Withdrawal)) == ResultCode::RecordNotFound);
  CHECK_TRUE(fetch(1).Records.at(0).Withdrawn);
}

TEST(ConfigWriter, HoldsUnderEveryOrderOfFaultsAtItsCommits) {
  // All sequences of three faults at the first three commits: the change
  // takes effect at most once, and the outcome never contradicts the table.
  const Fault Faults[] = {Fault::None, Fault::Down,
                          Fault::EffectWithLostResponse,
                          Fault::LostWithoutEffect, Fault::LateEffect};
  for (Fault First : Faults)
    for (Fault Second : Faults)
      for (Fault Third : Faults) {
        FakeTable Fresh;
        Fresh.CommitFaults = {First, Second, Third};
        auto Outcome = applyChange(
            Fresh, request("op", targetChange("a", "drain")), {}, [](auto) {});
        auto Row = decodeRecord(Fresh.rowOf("config/record/target/a")).value();
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
    CHECK_TRUE(applyChange(Table,
                           request("op" + std::to_string(Count),
                                   targetChange("t" + std::to_string(Count % 7),
                                                "drain")),
                           Few, [](auto) {})
                   .has_value());
  auto Complete = Snapshot::empty()->apply(fetch(0));
  CHECK_EQUAL(60u, Complete->revision());
  for (uint64_t After = 1; After < 60; ++After) {
    Delta Fetched = fetch(After);
    CHECK_EQUAL(60u, Fetched.Head);
    auto Expected = Complete->diffSince(After).Records;
    CHECK_TRUE(Fetched.Full ? Fetched.Records.size() == 7
                            : Fetched.Records == Expected);
  }
}
