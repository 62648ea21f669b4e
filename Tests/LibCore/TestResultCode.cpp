//===- TestResultCode.cpp - The promises of the result table ----*- C++ -*-===//
//
// What callers may conclude from a number, and the page that tells them.
//
//===----------------------------------------------------------------------===//

#include "LibCore/ResultCode.h"
#include "LibCore/ResultCodePage.h"

#include "Support/DocumentPage.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;

namespace {

int groupOf(const ResultCodeInfo &Row) {
  return static_cast<int>(Row.Code) / 100;
}

} // namespace

TEST_GROUP(ResultCode){};

TEST(ResultCode, RowsHaveUniqueNamesAndMeanings) {
  std::set<std::string_view> Names, Meanings;
  for (const ResultCodeInfo &Row : resultCodeTable()) {
    CHECK(Names.insert(Row.Name).second);
    CHECK(Meanings.insert(Row.Meaning).second);
  }
}

TEST(ResultCode, NumbersLeadBackToTheirRows) {
  for (const ResultCodeInfo &Row : resultCodeTable()) {
    auto Code = resultCodeFromNumber(static_cast<int>(Row.Code));
    CHECK(Code == Row.Code);
    CHECK(&resultCodeInfo(*Code) == &Row);
    std::error_code Standard = Row.Code;
    CHECK(Standard.message() == Row.Meaning);
  }
  for (int Unknown : {-1, 1, 100, 212, 399, 703, 1 << 30})
    CHECK(!resultCodeFromNumber(Unknown));
}

TEST(ResultCode, RefusalsPromiseThatNothingRan) {
  // Symptom: a caller repeats a refused slot hold and the slot is held twice.
  // Sequence: hand-off, lost answer, a refusal with a 2xx code, a retry.
  // Cause: a code of the refusal group that does not promise "not run".
  for (const ResultCodeInfo &Row : resultCodeTable()) {
    if (groupOf(Row) == 1 || groupOf(Row) == 2)
      CHECK(Row.Executed == Execution::NotRun);
    if (groupOf(Row) == 3)
      CHECK(Row.Executed == Execution::MayHaveRun);
    if (Row.MayRetry)
      CHECK(Row.Executed == Execution::NotRun ||
            Row.Executed == Execution::NotApplicable);
  }
}

TEST(ResultCode, ThePageShowsTheTable) {
  std::string Wanted = resultCodePage();
  for (const ResultCodeInfo &Row : resultCodeTable())
    STRCMP_CONTAINS(std::string(Row.Name).c_str(), Wanted.c_str());
  STRCMP_EQUAL(Wanted.c_str(),
               test::documentPage("RESULT-CODES.md", Wanted).c_str());
}
