//===- FakeTable.h - The table in memory, with faults -----------*- C++ -*-===//
//
// Answers at once on the caller's thread. Faults are set for the next calls.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/Platform.h"

#include <deque>
#include <map>
#include <mutex>

namespace figlift::test {

/// LateEffect: no answer, and the effect comes only with the next commit.
/// DownAfterwards: the commit is answered, and every later call fails.
enum class Fault {
  None,
  Down,
  EffectWithoutAnswer,
  LostBeforeEffect,
  LateEffect,
  DownAfterwards
};

class FakeTable : public platform::Table {
public:
  /// Of every call while it is set.
  void setDown(bool Down) {
    std::lock_guard Lock(m_Mutex);
    m_Down = Down;
  }
  /// Of the next commits, one each.
  std::deque<Fault> CommitFaults;
  /// Called before every commit, for what others do meanwhile.
  std::function<void()> BeforeCommit;
  unsigned Commits = 0;

  void read(std::string Key, platform::Callback<platform::Row> Done) override {
    if (isDown())
      return Done(down());
    Done(rowOf(Key));
  }

  void readRange(std::string Prefix, std::string After, size_t Limit,
                 platform::Callback<std::vector<platform::Row>> Done) override {
    if (isDown())
      return Done(down());
    std::vector<platform::Row> Found;
    std::unique_lock Lock(m_Mutex);
    for (const auto &[Key, Row] : m_Rows)
      if (Row.Version && Key.starts_with(Prefix) && Key > After &&
          Found.size() < Limit)
        Found.push_back(Row);
    Lock.unlock();
    Done(std::move(Found));
  }

  void commit(platform::Transaction What,
              platform::Callback<std::monostate> Done) override {
    if (auto Before = std::exchange(BeforeCommit, nullptr))
      Before();
    ++Commits;
    if (auto Late = std::exchange(m_Late, std::nullopt))
      apply(*Late);
    Fault Now = Fault::None;
    if (!CommitFaults.empty()) {
      Now = CommitFaults.front();
      CommitFaults.pop_front();
    }
    if (isDown() || Now == Fault::Down)
      return Done(down());
    if (Now == Fault::LateEffect)
      m_Late = What;
    if (Now == Fault::LostBeforeEffect || Now == Fault::LateEffect)
      return Done(failure(ResultCode::StoreOutcomeUnknown, "answer lost"));
    bool Applied = apply(What);
    if (Now == Fault::DownAfterwards)
      setDown(true);
    if (Now == Fault::EffectWithoutAnswer)
      return Done(failure(ResultCode::StoreOutcomeUnknown, "answer lost"));
    if (!Applied)
      return Done(failure(ResultCode::StoreConflict, "conflict"));
    Done(std::monostate());
  }

  platform::Row rowOf(const std::string &Key) {
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Rows.find(Key);
    return Found == m_Rows.end() ? platform::Row{Key, 0, ""} : Found->second;
  }

private:
  bool isDown() {
    std::lock_guard Lock(m_Mutex);
    return m_Down;
  }
  static decltype(failure(ResultCode::Internal, "")) down() {
    return failure(ResultCode::StoreUnavailable, "down");
  }

  bool apply(const platform::Transaction &What) {
    std::lock_guard Lock(m_Mutex);
    for (const auto &[Key, Version] : What.Conditions)
      if (m_Rows[Key].Version != Version)
        return false;
    for (const auto &[Key, Value] : What.Writes) {
      platform::Row &Row = m_Rows[Key];
      Row = Value ? platform::Row{Key, Row.Version + 1, *Value}
                  : platform::Row{Key, 0, ""};
    }
    return true;
  }

  std::mutex m_Mutex;
  std::map<std::string, platform::Row> m_Rows;
  bool m_Down = false;
  std::optional<platform::Transaction> m_Late;
};

} // namespace figlift::test
