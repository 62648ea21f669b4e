//===- Orders.h - Planners' orders to the engine ----------------*- C++ -*-===//
//
// Carries out the actions of the order machine: rows, draining, the engine.
// Also watches the engine, so that a crash is noticed. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "Gate.h"
#include "Replies.h"

#include "LibOrder/OrderMachine.h"
#include "LibPlatform/Platform.h"
#include "LibTarget/Target.h"

#include <functional>

namespace figlift::agent {

class Orders {
public:
  struct Parts {
    Gate &Way;
    Replies &Back;
    platform::Table &Store;
    target::Engine &Engine;
  };
  struct Observers {
    /// The order machine opens or closes admission.
    std::function<void(bool Open)> Admission;
    std::function<void()> EngineRestarted;
  };

  Orders(Context Shared, Parts Of, Observers Told);

  void start();
  void onOrder(StreamId Stream, const wire::OrderRequest &Request);
  /// Work has left the gate.
  void workLeft();
  void tick();

  /// Last seen; empty before the first answer of the engine.
  const std::optional<order::EngineState> &engine() const { return m_Engine; }
  uint64_t highestEpoch() const { return m_Machine.highestEpoch(); }
  std::string currentOrder() const;

private:
  void step(const order::Event &What);
  void carryOut(const std::vector<order::Action> &Actions);
  void act(const order::ReadIntentRow &);
  void act(const order::CommitIntentRow &What);
  void act(const order::CommitCompletionRow &What);
  void act(const order::CloseAdmission &);
  void act(const order::OpenAdmission &);
  void act(const order::ReadEngineState &);
  void act(const order::SendToEngine &What);
  void act(const order::Reply &What);
  void act(const order::ReportEngineState &What);

  void readLease(Result<platform::Row> IntentRow);
  void commit(platform::Transaction What);
  void watchEngine();
  void engineAnswered(bool Asked,
                      const target::CallResult<target::EngineState> &Read);

  Context m_Shared;
  Parts m_Parts;
  Observers m_Told;
  order::OrderMachine m_Machine;
  std::optional<order::EngineState> m_Engine;
  /// Boot id of the engine that answered last.
  std::string m_LastBoot;
  /// Since CloseAdmission, until the gate is empty or the time is over.
  std::optional<BootTime> m_DrainUntil;
};

} // namespace figlift::agent
