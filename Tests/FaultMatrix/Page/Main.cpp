//===- Main.cpp - Makes docs/FAULT-MATRIX.md ------------------------------===//
//
// Reads the log of a run of ctest on standard input and prints the page.
//
//===----------------------------------------------------------------------===//

#include "FaultMatrix/Table/Cells.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <regex>
#include <string>

using namespace figlift::test;

namespace {

enum class Verdict { NotRun, Failed, Held };

constexpr std::string_view VerdictNames[] = {"not run", "failed", "held"};

/// A test whose end is missing from the log (its suite crashed or ran out of
/// time) has failed.
std::map<std::string, Verdict> readLog(std::istream &Log) {
  const std::regex Begin(R"(^TEST\((\w+), (\w+)\))");
  const std::regex Failure(R"(Failure in TEST\((\w+), (\w+)\))");
  const std::regex End(R"( - \d+ ms$)");
  std::map<std::string, Verdict> Found;
  std::string Open;
  std::map<std::string, bool> Failed;
  for (std::string Line; std::getline(Log, Line);) {
    std::smatch Match;
    if (std::regex_search(Line, Match, Failure))
      Failed[Match[1].str() + "." + Match[2].str()] = true;
    if (std::regex_search(Line, Match, Begin)) {
      Open = Match[1].str() + "." + Match[2].str();
      Found[Open] = Verdict::Failed;
    }
    if (!Open.empty() && std::regex_search(Line, End)) {
      Found[Open] = Failed[Open] ? Verdict::Failed : Verdict::Held;
      Open.clear();
    }
  }
  return Found;
}

} // namespace

int main() {
  const auto Results = readLog(std::cin);
  std::array<size_t, 3> Counts{};
  std::string Table;
  for (const MatrixRow &Row : matrix())
    for (size_t Fault = 0; Fault < FaultCount; ++Fault) {
      const std::string Test(Row.Tests[Fault]);
      const auto Result = Results.find(Test);
      const Verdict Is =
          Result == Results.end() ? Verdict::NotRun : Result->second;
      ++Counts[static_cast<size_t>(Is)];
      Table += "| " + std::string(Row.Machine) + " | " + std::string(Row.Step) +
               " | " + std::string(name(static_cast<enum Fault>(Fault))) +
               " | " + (Test.empty() ? "" : "`" + Test + "`") + " | " +
               std::string(VerdictNames[static_cast<size_t>(Is)]) + " |\n";
    }
  std::cout << "# Fault matrix\n\n"
               "Every fault at every step, as the last run of the tests left "
               "it. Made by `Meta/fault-matrix.sh`; do not edit. The table "
               "behind it is `Tests/FaultMatrix/Table/Cells.cpp`, its steps "
               "are those of the machines themselves.\n\n"
               "A cell without a test is not run, also where the fault can "
               "hardly touch the step. Tests of groups named `...Exploration` "
               "go through all interleavings within the bounds that they "
               "state; the others bring the fault about once.\n\n"
            << "Held: " << Counts[2] << ". Failed: " << Counts[1]
            << ". Not run: " << Counts[0] << ".\n\n"
            << "| machine | step | fault | test | result |\n"
               "|---|---|---|---|---|\n"
            << Table;
}
