//===- SharedReads.h - Calls that wait for a read made after them *- C++ -*-==//
//
// Several calls that need what the store holds now share one read. A read that
// was already on its way when a call came may lack what was written in between
// and does not count for it; such a call waits for the next one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <functional>
#include <iterator>
#include <utility>
#include <vector>

namespace figlift::dispatch {

class SharedReads {
public:
  /// Called once, when a read that was begun later has ended either way.
  using Waiter = std::function<void()>;

  void wait(Waiter Call) { m_Waiting.push_back(std::move(Call)); }
  /// Whether a read has to be begun.
  bool isWanted() const { return !m_Waiting.empty(); }

  /// A read is about to be sent. There is none on its way.
  void begun() {
    m_Served.insert(m_Served.end(), std::move_iterator(m_Waiting.begin()),
                    std::move_iterator(m_Waiting.end()));
    m_Waiting.clear();
  }
  /// Returns the calls whose read has ended.
  std::vector<Waiter> ended() { return std::exchange(m_Served, {}); }
  /// Returns the calls that wait for a read that will not be begun.
  std::vector<Waiter> refuse() { return std::exchange(m_Waiting, {}); }

private:
  /// Calls since the latest read was begun.
  std::vector<Waiter> m_Waiting;
  /// Calls before that.
  std::vector<Waiter> m_Served;
};

} // namespace figlift::dispatch
