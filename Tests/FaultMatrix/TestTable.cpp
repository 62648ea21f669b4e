//===- TestTable.cpp - The matrix leaves nothing out ----------------------===//
//
// Every step of every machine has its row, and every test that a cell names
// exists.
//
//===----------------------------------------------------------------------===//

#include "FaultMatrix/Table/Cells.h"
#include "FaultMatrix/Table/Steps.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;

TEST_GROUP(FaultMatrixTable){};

TEST(FaultMatrixTable, EveryStepOfEveryMachineHasExactlyOneRow) {
  std::multiset<std::string> Rows;
  for (const MatrixRow &Row : matrix())
    Rows.insert(std::string(Row.Machine) + "/" + std::string(Row.Step));
  size_t Steps = 0;
  for (const MachineSteps &Machine : allSteps()) {
    CHECK_FALSE(Machine.Steps.empty());
    for (const std::string &Step : Machine.Steps) {
      ++Steps;
      CHECK_EQUAL_TEXT(1u, Rows.count(Machine.Machine + "/" + Step),
                       (Machine.Machine + "/" + Step).c_str());
    }
  }
  CHECK_EQUAL(Steps, Rows.size());
}

TEST(FaultMatrixTable, EveryTestThatACellNamesExists) {
  std::set<std::string> Known;
  const std::regex Head(R"(\nTEST\(\s*(\w+),\s*(\w+)\))");
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(FIGLIFT_TESTS)) {
    if (Entry.path().extension() != ".cpp")
      continue;
    std::ifstream File(Entry.path());
    const std::string Text{std::istreambuf_iterator<char>(File), {}};
    for (std::sregex_iterator Found(Text.begin(), Text.end(), Head), End;
         Found != End; ++Found)
      Known.insert((*Found)[1].str() + "." + (*Found)[2].str());
  }
  for (const MatrixRow &Row : matrix())
    for (std::string_view Test : Row.Tests)
      CHECK_TEXT(Test.empty() || Known.contains(std::string(Test)),
                 std::string(Test).c_str());
}
