//===- StoreFollower.h - Follows one table of the store ---------*- C++ -*-===//
//
// Reads a table completely, then its changes whenever they are due. A watch can
// stall without an error, and history can be dropped. Each watch is therefore
// short, and a full read follows each failure and also happens periodically.
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
  /// How long a call waits for a change. A call that takes longer than this
  /// and the usual response time has stalled.
  std::chrono::milliseconds WatchTime{500};
  /// A watch may miss a change without an error; a full read corrects it.
  std::chrono::milliseconds FullReadInterval{12000};
  /// Delay after a failure, plus a random part of up to the same length: all
  /// processes lose the store at once and must not reconnect at once.
  std::chrono::milliseconds RetryDelay{150};
  /// The delay doubles with each consecutive failure up to this limit, as
  /// rejected calls are charged, too. The platform expects a process to be
  /// connected again three seconds after the store is back.
  std::chrono::milliseconds MaximumRetryDelay{400};
};

class StoreFollower {
public:
  struct Listener {
    std::function<void(const slopes::RowsRead &, BootTime KnownAt)> FullRead;
    /// Also called when there were no changes.
    std::function<void(const slopes::RowsRead &, BootTime KnownAt)> Changes;
    std::function<void()> ConnectionLost;
    /// When the table has to be read again, depending on whether the last
    /// watch saw no change. Evaluated again as time passes, since peers may
    /// announce the contents of the table.
    std::function<BootTime(bool WasUnchanged)> Due;
  };

  StoreFollower(boost::asio::io_context &Loop, slopes::StoreClient &Store,
                std::string Table, Listener Listener, FollowerOptions Options,
                std::function<double()> Draw);

  void start() { readTable(); }
  /// The process stalled, or the store may have changed unnoticed: the table
  /// is read completely and at once.
  void resync();
  /// The table may have changed: its changes are read before they are due.
  void readNow();
  /// Like readNow(), but reads the current contents instead of the changes.
  void readAllNow();
  /// All changes up to \p Version are known from another source.
  void advance(dispatch::StoreVersion Version) {
    // A later era requires a full read first.
    if (Version.Era == m_Version.Era)
      m_Version = std::max(m_Version, Version);
  }
  bool connected() const { return m_Connected; }

private:
  void next();
  /// The same, and counts an exception as a failed call.
  void nextOrRetry();
  void wait(BootClock::duration For);
  void readTable();
  void watch();
  void handleFailure(const Error &Reason);
  void recordSuccess();

  boost::asio::steady_timer m_Timer;
  slopes::StoreClient &m_Store;
  const std::string m_Table;
  Listener m_Listener;
  FollowerOptions m_Options;
  std::function<double()> m_Draw;
  dispatch::StoreVersion m_Version;
  bool m_Connected = false;
  /// Consecutive failures.
  unsigned m_Failures = 0;
  BootTime m_NextFullRead{};
  /// The next read does not wait until it is due.
  bool m_ReadImmediately = false;
  /// The last watch saw no change, or there was none since the full read.
  bool m_WasUnchanged = false;
  /// Waiting until the next read is due, and not after a failure.
  bool m_Waiting = false;
};

} // namespace figlift::gateway
