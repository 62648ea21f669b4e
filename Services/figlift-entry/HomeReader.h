//===- HomeReader.h - Reads the homes of slices from the table --*- C++ -*-===//
//
// Reads the slice grants of a back end when a keyed call found no home or an
// outdated one. Homes are usually learned from the reports of the agents. The
// reads are rate-limited, regardless of how many calls fail.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EventLoop.h"
#include "figlift-entry/Fleet.h"

#include "LibPlatform/Platform.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace figlift::entry {

class HomeReader {
public:
  HomeReader(EventLoop &Control, platform::Table &Store, Fleet &Targets)
      : m_Control(Control), m_Store(Store), m_Fleet(Targets) {}

  /// Requests a read of the grants of a back end. Thread-safe.
  void requestRead(const std::string &BackEnd);
  /// Polls the grants of these back ends until every slice has a home, so that
  /// the first keyed calls find one. Thread-safe.
  void watch(std::vector<std::string> BackEnds);

private:
  void read(const std::string &BackEnd);
  void readWatched();

  EventLoop &m_Control;
  platform::Table &m_Store;
  Fleet &m_Fleet;
  /// Time of the last read by back end; control thread.
  std::map<std::string, BootTime> m_LastRead;
  /// Back ends with slices that have no known home; control thread.
  std::set<std::string> m_Watched;
  bool m_IsWatching = false;
};

} // namespace figlift::entry
