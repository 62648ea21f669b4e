//===- TestResultCode.cpp - Guarantees of result codes ----------*- C++ -*-===//
//
// What callers may conclude from a result code, and the page that documents it.
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

TEST(ResultCode, NumbersMapToTheirRows) {
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

TEST(ResultCode, RefusalsGuaranteeThatNothingWasExecuted) {
  // Guards against a request that is executed twice: it is sent to a target,
  // its response is lost, and the caller retries after a 2xx code although the
  // code does not guarantee that the request was not executed.
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

TEST(ResultCode, PageMatchesTheTable) {
  std::string Expected = resultCodePage();
  for (const ResultCodeInfo &Row : resultCodeTable())
    STRCMP_CONTAINS(std::string(Row.Name).c_str(), Expected.c_str());
  STRCMP_EQUAL(Expected.c_str(),
               test::documentPage("RESULT-CODES.md", Expected).c_str());
}
