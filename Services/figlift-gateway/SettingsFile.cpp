//===- SettingsFile.cpp - Detects changes of the settings file ------------===//
//
// Compares contents: reading a file of a kilobyte takes microseconds, and two
// changes within one second may have the same modification time.
//
//===----------------------------------------------------------------------===//

#include "SettingsFile.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace figlift::gateway {

SettingsFile::SettingsFile(std::string Path) : m_Path(std::move(Path)) {
  if (!m_Path.empty())
    read();
}

std::string SettingsFile::read() {
  std::ifstream File(m_Path, std::ios::binary);
  m_LastText = {std::istreambuf_iterator<char>(File), {}};
  return m_LastText;
}

std::optional<std::string> SettingsFile::readIfChanged() {
  if (m_Path.empty())
    return std::nullopt;
  const std::string Previous = m_LastText;
  const std::string Current = read();
  if (Current.empty())
    m_LastText = Previous;
  if (Current.empty() || Current == Previous)
    return std::nullopt;
  return Current;
}

} // namespace figlift::gateway
