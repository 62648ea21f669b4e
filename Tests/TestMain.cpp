//===- TestMain.cpp - Entry point shared by every test suite --------------===//
//
// Runs all CppUTest groups that are linked into the suite. Tests allocate on
// several threads, so CppUTest's leak detector locks its table, unless the
// suite has turned it off.
//
//===----------------------------------------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int ArgumentCount, char **Arguments) {
  if (MemoryLeakWarningPlugin::areNewDeleteOverloaded())
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
