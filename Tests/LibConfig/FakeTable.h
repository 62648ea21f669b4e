//===- FakeTable.h - In-memory table with fault injection -------*- C++ -*-===//
//
// Calls back at once on the caller's thread. Faults apply to the next calls.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/Platform.h"

#include <deque>
#include <map>
#include <mutex>

namespace figlift::test {

/// LateEffect: the response is lost and the effect is delayed until the next
/// commit. DownAfterwards: the commit succeeds, and every later call fails.
enum class Fault {
  None,
  Down,
  EffectWithLostResponse,
  LostWithoutEffect,
  LateEffect,
  DownAfterwards
};

class FakeTable : public platform::Table {
public:
  /// While set, every call fails with StoreUnavailable.
  void setDown(bool Down) {
    std::lock_guard Lock(m_Mutex);
    m_Down = Down;
  }
  /// Faults of the next commits, one each.
  std::deque<Fault> CommitFaults;
  /// Called once before the next commit, to simulate concurrent changes.
  std::function<void()> BeforeCommit;
  unsigned CommitCount = 0;

  void read(std::string Key, platform::Callback<platform::Row> Done) override {
    if (isDown())
      return Done(down());
    Done(rowOf(Key));
  }

  void readRange(std::string Prefix, std::string After, size_t Limit,
                 platform::Callback<std::vector<platform::Row>> Done) override {
    if (isDown())
      return Done(down());
    std::vector<platform::Row> Rows;
    std::unique_lock Lock(m_Mutex);
    for (const auto &[Key, Row] : m_Rows)
      if (Row.Version && Key.starts_with(Prefix) && Key > After &&
          Rows.size() < Limit)
        Rows.push_back(Row);
    Lock.unlock();
    Done(std::move(Rows));
  }

  void commit(platform::Transaction Transaction,
              platform::Callback<std::monostate> Done) override {
    if (auto Callback = std::exchange(BeforeCommit, nullptr))
      Callback();
    ++CommitCount;
    if (auto Delayed = std::exchange(m_DelayedCommit, std::nullopt))
      apply(*Delayed);
    Fault Injected = Fault::None;
    if (!CommitFaults.empty()) {
      Injected = CommitFaults.front();
      CommitFaults.pop_front();
    }
    if (isDown() || Injected == Fault::Down)
      return Done(down());
    if (Injected == Fault::LateEffect)
      m_DelayedCommit = Transaction;
    if (Injected == Fault::LostWithoutEffect || Injected == Fault::LateEffect)
      return Done(failure(ResultCode::StoreOutcomeUnknown, "response lost"));
    bool Applied = apply(Transaction);
    if (Injected == Fault::DownAfterwards)
      setDown(true);
    if (Injected == Fault::EffectWithLostResponse)
      return Done(failure(ResultCode::StoreOutcomeUnknown, "response lost"));
    if (!Applied)
      return Done(failure(ResultCode::StoreConflict, "conflict"));
    Done(std::monostate());
  }

  platform::Row rowOf(const std::string &Key) {
    std::lock_guard Lock(m_Mutex);
    auto Row = m_Rows.find(Key);
    return Row == m_Rows.end() ? platform::Row{Key, 0, ""} : Row->second;
  }

private:
  bool isDown() {
    std::lock_guard Lock(m_Mutex);
    return m_Down;
  }
  static decltype(failure(ResultCode::Internal, "")) down() {
    return failure(ResultCode::StoreUnavailable, "down");
  }

  bool apply(const platform::Transaction &Transaction) {
    std::lock_guard Lock(m_Mutex);
    for (const auto &[Key, Version] : Transaction.Conditions)
      if (m_Rows[Key].Version != Version)
        return false;
    for (const auto &[Key, Value] : Transaction.Writes) {
      platform::Row &Row = m_Rows[Key];
      Row = Value ? platform::Row{Key, Row.Version + 1, *Value}
                  : platform::Row{Key, 0, ""};
    }
    return true;
  }

  std::mutex m_Mutex;
  std::map<std::string, platform::Row> m_Rows;
  bool m_Down = false;
  std::optional<platform::Transaction> m_DelayedCommit;
};

} // namespace figlift::test
