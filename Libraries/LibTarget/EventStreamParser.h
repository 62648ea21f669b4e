//===- EventStreamParser.h - Incremental server-sent events -----*- C++ -*-===//
//
// Extracts the data of the events from a text/event-stream body that arrives in
// chunks of any size.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::target {

class EventStreamParser {
public:
  /// Parsing stops at an event longer than \p MaximumEventBytes, and
  /// overflowed() becomes true.
  explicit EventStreamParser(size_t MaximumEventBytes = 1u << 20)
      : m_MaximumEventBytes(MaximumEventBytes) {}

  /// Parses the next chunk and returns the data of the events that it
  /// completes.
  std::vector<std::string> parse(std::string_view Bytes);
  bool overflowed() const { return m_Overflowed; }

private:
  void parseLine(std::string_view Line, std::vector<std::string> &Events);

  const size_t m_MaximumEventBytes;
  /// Incomplete last line. Never longer than the limit.
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  bool m_Overflowed = false;
};

} // namespace figlift::target
