//===- OutputWriter.h - Standard output that never blocks -------*- C++ -*-===//
//
// Log lines wait in a bounded buffer until standard output takes them. When it
// does not, lines are dropped and counted: a reader of the log that has stopped
// must not stop the requests.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace figlift::gateway {

class OutputWriter {
public:
  /// \p Handle is made non-blocking.
  explicit OutputWriter(int Handle = 1);

  void line(std::string_view Text);
  /// Writes what fits; called regularly.
  void flush();
  uint64_t dropped() const { return m_Dropped; }

private:
  size_t nextWrite() const;

  /// Some seconds of lines at the bound of the log's rate.
  static constexpr size_t MaximumHeld = 256 << 10;

  int m_Handle;
  std::string m_Held;
  uint64_t m_Dropped = 0;
};

} // namespace figlift::gateway
