//===- Orders.h - Planners' orders to the engine ----------------*- C++ -*-===//
//
// Executes the actions of the order machine: reads and writes rows, drains the
// target and sends orders to the engine. Also polls the engine to detect
// crashes. Event loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "AdmissionGate.h"
#include "Context.h"
#include "StreamWriter.h"

#include "LibOrder/OrderMachine.h"
#include "LibPlatform/Platform.h"
#include "LibTarget/Target.h"

#include <functional>

namespace figlift::agent {

class Orders {
public:
  struct Dependencies {
    AdmissionGate &Gate;
    StreamWriter &Writer;
    platform::Table &Store;
    target::Engine &Engine;
  };
  struct Observers {
    /// Called when the order machine opens or closes admission.
    std::function<void(bool Open)> Admission;
    std::function<void()> EngineRestarted;
  };

  Orders(Context Shared, Dependencies Services, Observers Callbacks);

  void start();
  void onOrder(StreamId Stream, const wire::OrderRequest &Request);
  /// Called after work has ended; continues an order that waits for the drain.
  void onWorkEnded();
  void tick();

  /// Last known state of the engine; empty before its first answer and while it
  /// does not answer.
  const std::optional<order::EngineState> &engine() const { return m_Engine; }
  uint64_t highestEpoch() const { return m_Machine.highestEpoch(); }
  std::string currentOrder() const;

private:
  void step(const order::Event &Event);
  void perform(const std::vector<order::Action> &Actions);
  void perform(const order::ReadIntentRow &);
  void perform(const order::CommitIntentRow &Action);
  void perform(const order::CommitCompletionRow &Action);
  void perform(const order::CloseAdmission &);
  void perform(const order::OpenAdmission &);
  void perform(const order::ReadEngineState &);
  void perform(const order::SendToEngine &Action);
  void perform(const order::Reply &Action);
  void perform(const order::ReportEngineState &Action);

  void readLease(Result<platform::Row> IntentRow);
  void commit(platform::Transaction Transaction);
  void pollEngine();
  void onEngineState(bool Requested,
                     const target::CallResult<target::EngineState> &Response);

  Context m_Shared;
  Dependencies m_Dependencies;
  Observers m_Observers;
  order::OrderMachine m_Machine;
  std::optional<order::EngineState> m_Engine;
  /// Boot id of the engine that answered last.
  std::string m_LastBoot;
  /// Deadline of the drain that CloseAdmission started; empty when no order
  /// waits for a drain.
  std::optional<BootTime> m_DrainDeadline;
};

} // namespace figlift::agent
