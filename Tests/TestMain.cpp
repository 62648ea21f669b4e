//===- TestMain.cpp - Entry point shared by every test suite --------------===//
//
// Runs all CppUTest groups that are linked into the suite.
//
//===----------------------------------------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>

int main(int ArgumentCount, char **Arguments) {
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
