//===- RcuReadSection.h - Read-side critical sections -----------*- C++ -*-===//
//
// liburcu allows a thread to be registered only once, so all code of a process
// that reads under RCU (memb flavor) must use this class.
//
//===----------------------------------------------------------------------===//

#pragma once

namespace figlift::config {

/// Returns once every read section that was open at the time of the call has
/// ended. Must not be called inside a section.
void waitForReaders();

/// Registers the thread at its first use. Code inside a section must not block.
/// Sections may be nested.
class RcuReadSection {
public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection &) = delete;
  RcuReadSection &operator=(const RcuReadSection &) = delete;
};

} // namespace figlift::config
