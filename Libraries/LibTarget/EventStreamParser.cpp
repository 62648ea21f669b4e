//===- EventStreamParser.cpp - Incremental server-sent events -------------===//
//
// Lines end with LF or CR LF, and an empty line ends an event. All fields
// except "data:" are ignored.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/EventStreamParser.h"

namespace figlift::target {

static constexpr std::string_view DataField = "data:";

std::vector<std::string> EventStreamParser::parse(std::string_view Bytes) {
  std::vector<std::string> Events;
  while (!m_Overflowed && !Bytes.empty()) {
    const size_t End = Bytes.find('\n');
    const std::string_view Part = Bytes.substr(0, End);
    if (m_Line.size() + m_Data.size() + Part.size() > m_MaximumEventBytes) {
      m_Overflowed = true;
      break;
    }
    m_Line.append(Part);
    if (End == std::string_view::npos)
      break;
    Bytes.remove_prefix(End + 1);
    parseLine(m_Line, Events);
    m_Line.clear();
  }
  return Events;
}

void EventStreamParser::parseLine(std::string_view Line,
                                  std::vector<std::string> &Events) {
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty()) {
    if (m_HasData)
      Events.push_back(std::move(m_Data));
    m_Data.clear();
    m_HasData = false;
    return;
  }
  if (!Line.starts_with(DataField))
    return;
  Line.remove_prefix(DataField.size());
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  if (m_HasData)
    m_Data += '\n';
  m_Data += Line;
  m_HasData = true;
}

} // namespace figlift::target
