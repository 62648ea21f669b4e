//===- LeakDetectorOff.cpp - Setup of the suite ---------------------------===//
//
// CppUTest's leak detector is not safe for threads, and cpprestsdk's pool
// allocates on its own; so it is off for this suite. Leaks of the processes
// under test are the matter of Meta/sanitize.sh.
//
//===----------------------------------------------------------------------===//

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {
const bool LeakDetectorOff =
    (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);
} // namespace
