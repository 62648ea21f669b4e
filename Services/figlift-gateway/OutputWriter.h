//===- OutputWriter.h - Non-blocking standard output ------------*- C++ -*-===//
//
// Log lines wait in a bounded buffer until standard output accepts them. When
// the buffer is full, lines are dropped and counted: a stalled reader of the
// log must not block requests.
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
  /// Makes \p Handle non-blocking.
  explicit OutputWriter(int Handle = 1);

  void line(std::string_view Text);
  /// Writes as much as standard output accepts; called periodically.
  void flush();
  uint64_t dropped() const { return m_Dropped; }

private:
  size_t nextWrite() const;

  /// Holds some seconds of log lines at the maximum log rate.
  static constexpr size_t MaximumBufferedBytes = 256 << 10;

  int m_Handle;
  std::string m_Buffer;
  uint64_t m_Dropped = 0;
};

} // namespace figlift::gateway
