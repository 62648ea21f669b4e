//===- StoreFollower.h - Keeps up with one table of the store ---*- C++ -*-===//
//
// Reads a table whole, then watches it. A watch can fall silent without an
// error, and history can be dropped, so every watch is short, and a whole read
// follows each failure and comes now and then besides.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace figlift::gateway {

struct FollowerOptions {
  /// A change shows at once through a watch that works; one that has fallen
  /// silent is replaced after this. The platform allows two seconds for a
  /// configuration, and three more after connections fell silent. Each call is
  /// paid for: at 31 gateways those of a wait of 600 ms cost 0.08 where 0.74
  /// was earned (one run).
  std::chrono::milliseconds WatchTime{2000};
  /// After an answer with changes the next watch waits this long: while many
  /// servers change, each change would otherwise cost a call of every process.
  /// It is a tenth of the platform's shortest bound on taking a change in.
  std::chrono::milliseconds ChangePause{200};
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
    std::function<void(const std::vector<slopes::StoreRow> &)> Whole;
    std::function<void(const std::vector<slopes::StoreRow> &)> Changes;
    std::function<void()> Lost;
  };

  StoreFollower(boost::asio::io_context &Loop, slopes::StoreClient &Store,
                std::string Table, Listener Told, FollowerOptions Options,
                std::function<double()> Draw);

  void start() { readWhole(); }
  /// The process stood still, or the store may have changed unseen: the next
  /// thing read is the whole table.
  void distrust() { m_NextWhole = {}; }
  /// Time of the last answer.
  BootTime lastAnswer() const { return m_LastAnswer; }
  bool connected() const { return m_Connected; }

private:
  void next();
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
  uint64_t m_Version = 0;
  bool m_Connected = false;
  /// Failures since the last answer.
  unsigned m_Failures = 0;
  BootTime m_LastAnswer{};
  BootTime m_NextWhole{};
};

} // namespace figlift::gateway
