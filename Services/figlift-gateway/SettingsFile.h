//===- SettingsFile.h - Notices that the settings have changed --*- C++ -*-===//
//
// The platform may replace a process's settings file with or without a signal.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <string>

namespace figlift::gateway {

class SettingsFile {
public:
  /// An empty \p Path stands for settings that are in no file.
  explicit SettingsFile(std::string Path);

  std::string read();
  /// The text, if it is another than was read last. A file that cannot be read
  /// is one that is just being replaced: it counts as unchanged.
  std::optional<std::string> readIfChanged();

private:
  std::string m_Path;
  std::string m_Last;
};

} // namespace figlift::gateway
