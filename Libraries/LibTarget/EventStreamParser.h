//===- EventStreamParser.h - Incremental server-sent events -----*- C++ -*-===//
//
// Splits the bytes of a text/event-stream answer into the data of its events,
// however the bytes are cut into chunks.
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
  /// An event longer than this ends the stream: overflowed() turns true.
  explicit EventStreamParser(size_t MaximumEventBytes = 1u << 20)
      : m_MaximumEventBytes(MaximumEventBytes) {}

  /// Takes the next bytes; returns the data of the events they complete.
  std::vector<std::string> take(std::string_view Bytes);
  bool overflowed() const { return m_Overflowed; }

private:
  void takeLine(std::string_view Line, std::vector<std::string> &Events);

  const size_t m_MaximumEventBytes;
  /// The begun line, without its end; never longer than the limit.
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  bool m_Overflowed = false;
};

} // namespace figlift::target
