//===- StoreFollower.h - Keeps up with one table of the store ---*- C++ -*-===//
//
// Reads a table whole, then what has changed in it, whenever that is due. A
// watch can fall silent without an error, and history can be dropped, so every
// watch is short, and a whole read follows each failure and comes now and then
// besides.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace figlift::gateway {

struct FollowerOptions {
  /// How long a call waits for a change. One that takes longer than this and
  /// the usual answer has fallen silent.
  std::chrono::milliseconds WatchTime{500};
  /// A watch may miss a change without a sign; a whole read corrects it.
  std::chrono::milliseconds WholeReadInterval{12000};
  /// After a failure, with up to as much again by chance: all processes lose
  /// the store together and must not return together.
  std::chrono::milliseconds RetryDelay{150};
  /// The delay doubles with each failure in a row up to this: refused calls are
  /// paid for, too. The platform counts a process as in touch again three
  /// seconds after the store's return.
  std::chrono::milliseconds MaximumRetryDelay{400};
};

class StoreFollower {
public:
  struct Listener {
    std::function<void(const slopes::RowsRead &, BootTime KnownAt)> Whole;
    /// Also called when there were none.
    std::function<void(const slopes::RowsRead &, BootTime KnownAt)> Changes;
    std::function<void()> Lost;
    /// When the table has to be read again, after a watch that saw no change,
    /// or one that did; asked anew as time passes, since peers may tell what
    /// the table holds.
    std::function<BootTime(bool WasQuiet)> Due;
  };

  StoreFollower(boost::asio::io_context &Loop, slopes::StoreClient &Store,
                std::string Table, Listener Told, FollowerOptions Options,
                std::function<double()> Draw);

  void start() { readWhole(); }
  /// The process stood still, or the store may have changed unseen: the whole
  /// table is read, at once.
  void distrust();
  /// It has changed, or may have: it is read although it is not due.
  void readNow();
  /// The same, and only what it has now is of interest.
  void readWholeNow();
  /// All up to \p Version is known from elsewhere.
  void advance(dispatch::StoreVersion Version) {
    // A later era has to be read whole first.
    if (Version.Era == m_Version.Era)
      m_Version = std::max(m_Version, Version);
  }
  bool connected() const { return m_Connected; }

private:
  void next();
  void wait(BootClock::duration For);
  void readWhole();
  void watch();
  void failed(const Error &Reason);
  void answered();

  boost::asio::steady_timer m_Timer;
  slopes::StoreClient &m_Store;
  const std::string m_Table;
  Listener m_Told;
  FollowerOptions m_Options;
  std::function<double()> m_Draw;
  dispatch::StoreVersion m_Version;
  bool m_Connected = false;
  /// Failures since the last answer.
  unsigned m_Failures = 0;
  BootTime m_NextWhole{};
  /// The next read does not wait until it is due.
  bool m_Hurries = false;
  /// The last watch saw no change, or none was made since the whole read.
  bool m_WasQuiet = false;
  /// Waiting until the next read is due, and not after a failure.
  bool m_Waits = false;
};

} // namespace figlift::gateway
