//===- SettingsFile.cpp - Notices that the settings have changed ----------===//
//
// Compares texts: a file of a kilobyte is read in microseconds, and times of
// change can be equal for two changes in one second.
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
  m_Last = {std::istreambuf_iterator<char>(File), {}};
  return m_Last;
}

std::optional<std::string> SettingsFile::readIfChanged() {
  if (m_Path.empty())
    return std::nullopt;
  const std::string Before = m_Last;
  const std::string Now = read();
  if (Now.empty())
    m_Last = Before;
  if (Now.empty() || Now == Before)
    return std::nullopt;
  return Now;
}

} // namespace figlift::gateway
