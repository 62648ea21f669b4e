//===- ExplorationGroup.h - Base of test groups that explore ----*- C++ -*-===//
//
// CppUTest records every allocation in a small hash table, so that millions of
// states take hours. Explorations run without the record; leaks show in the
// runs with the address sanitizer. Include after all other headers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace figlift::test {

class ExplorationGroup : public Utest {
public:
  void setup() override {
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
  }
  void teardown() override {
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
  }
};

} // namespace figlift::test
