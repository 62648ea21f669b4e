//===- SettingsFile.h - Detects changes of the settings file ----*- C++ -*-===//
//
// The platform may replace the settings file of a process with or without
// sending a signal.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <string>

namespace figlift::gateway {

class SettingsFile {
public:
  /// An empty \p Path means that the settings do not come from a file.
  explicit SettingsFile(std::string Path);

  std::string read();
  /// Returns the text if it differs from the one read last. A file that cannot
  /// be read is being replaced at this moment and counts as unchanged.
  std::optional<std::string> readIfChanged();

private:
  std::string m_Path;
  std::string m_LastText;
};

} // namespace figlift::gateway
