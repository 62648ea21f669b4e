//===- HomeReader.h - Homes of slices from the table ------------*- C++ -*-===//
//
// Reads the row of a back end's slices when a keyed call found no home or the
// wrong one. Homes are usually learned from the agents' own reports; this read
// is bounded in rate, however many calls fail.
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
  HomeReader(EventLoop &Control, platform::Table &Store, Fleet &Learner)
      : m_Control(Control), m_Store(Store), m_Learner(Learner) {}

  /// Any thread.
  void wanted(const std::string &BackEnd);
  /// Reads the rows of these back ends until every slice has a home, so that
  /// the first keyed calls find one. Any thread.
  void watch(std::vector<std::string> BackEnds);

private:
  void read(const std::string &BackEnd);
  void readWatched();

  EventLoop &m_Control;
  platform::Table &m_Store;
  Fleet &m_Learner;
  /// Of the last read; control thread.
  std::map<std::string, BootTime> m_LastRead;
  /// Back ends some of whose slices have no known home; control thread.
  std::set<std::string> m_Watched;
  bool m_WatchDue = false;
};

} // namespace figlift::entry
