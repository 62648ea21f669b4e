//===- RcuReadSection.h - Read-side critical sections -----------*- C++ -*-===//
//
// liburcu lets a thread be registered only once; everything of a process that
// reads under RCU (memb flavour) goes through this class.
//
//===----------------------------------------------------------------------===//

#pragma once

namespace figlift::config {

/// Returns when every section that was open at the call has ended. Not inside
/// a section.
void waitForReaders();

/// Registers the thread at its first use. Code inside must not block. Sections
/// may nest.
class RcuReadSection {
public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection &) = delete;
  RcuReadSection &operator=(const RcuReadSection &) = delete;
};

} // namespace figlift::config
