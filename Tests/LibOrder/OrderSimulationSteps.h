//===- OrderSimulationSteps.h - Steps of OrderSimulation --------*- C++ -*-===//
//
// Steps of the planners, the store and the engine, and faults. Included by
// OrderSimulation.h only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibOrder/OrderSimulation.h"

namespace figlift::test {

template <typename TryStep>
void OrderSimulation::plannerSteps(TryStep &&AddStep) const {
  for (size_t I = 0; I != 2; ++I)
    if (m_DeliveryCounts[I] < m_Limits.DeliveriesPerOrder && m_LeaseEpoch > I)
      AddStep("order " + orderOf(I).Id + " arrives",
              [&](OrderSimulation &Next) {
                ++Next.m_DeliveryCounts[I];
                Next.feed(OrderReceived{I, orderOf(I)});
              });
  if (m_LeaseEpoch <= uint64_t(m_Limits.Takeovers))
    AddStep("the lease changes hands",
            [](OrderSimulation &Next) { ++Next.m_LeaseEpoch; });
  if (m_Draining)
    AddStep("the last request ends", [](OrderSimulation &Next) {
      Next.m_Draining = false;
      Next.feed(Drained{});
    });
  if (m_Draining && m_DrainTimeoutCount < m_Limits.DrainTimeouts)
    AddStep("the drain times out", [](OrderSimulation &Next) {
      ++Next.m_DrainTimeoutCount;
      Next.m_Draining = false;
      Next.feed(DrainTimedOut{});
    });
}

template <typename TryStep>
void OrderSimulation::storeSteps(TryStep &&AddStep) const {
  if (m_StoreResponse)
    AddStep("the store's response arrives",
            [](OrderSimulation &Next) { Next.deliverStoreResponse(); });
  for (size_t I = 0; I != m_LateCommits.size(); ++I)
    AddStep("a delayed commit reaches the table", [I](OrderSimulation &Next) {
      Action Late = Next.m_LateCommits[I];
      eraseAt(Next.m_LateCommits, I);
      Next.apply(Late);
    });
  if (!m_StoreCall)
    return;
  AddStep("the table executes the call",
          [](OrderSimulation &Next) { Next.executeStoreCall(); });
  bool Commit = !std::holds_alternative<ReadIntentRow>(*m_StoreCall);
  if (m_StoreFailureCount < m_Limits.StoreFailures)
    AddStep("the store is down", [Commit](OrderSimulation &Next) {
      ++Next.m_StoreFailureCount;
      Next.m_StoreCall.reset();
      if (Commit)
        Next.m_StoreResponse.emplace(CommitFailed{});
      else
        Next.m_StoreResponse.emplace(IntentRowReadFailed{});
    });
  if (Commit && m_LostResponseCount < m_Limits.LostResponses)
    AddStep("the commit is delayed and its response lost",
            [](OrderSimulation &Next) {
              ++Next.m_LostResponseCount;
              Next.m_LateCommits.push_back(*Next.m_StoreCall);
              Next.m_StoreCall.reset();
              Next.m_StoreResponse.emplace(CommitOutcomeUnknown{});
            });
}

template <typename TryStep>
void OrderSimulation::engineSteps(TryStep &&AddStep) const {
  if (m_EngineResponse)
    AddStep("the engine's response arrives",
            [](OrderSimulation &Next) { Next.deliverEngineResponse(); });
  for (size_t I = 0; I != m_LateOrders.size(); ++I)
    AddStep("a late copy reaches the engine", [I](OrderSimulation &Next) {
      SendToEngine Late = Next.m_LateOrders[I].Sent;
      eraseAt(Next.m_LateOrders, I);
      Next.arrive(Late);
    });
  if (m_Engine.OrderState == EngineOrderState::Running) {
    AddStep("the engine finishes",
            [](OrderSimulation &Next) { Next.finishOrder(true); });
    if (m_EngineFailureCount < m_Limits.EngineFailures)
      AddStep("the engine's change fails", [](OrderSimulation &Next) {
        ++Next.m_EngineFailureCount;
        Next.finishOrder(false);
      });
  }
  if (!m_EngineCall)
    return;
  AddStep("the engine executes the call",
          [](OrderSimulation &Next) { Next.executeEngineCall(); });
  if (std::holds_alternative<SendToEngine>(*m_EngineCall) &&
      m_LostSendCount < m_Limits.LostSends)
    AddStep("the order is not acknowledged", [](OrderSimulation &Next) {
      ++Next.m_LostSendCount;
      Next.loseSend();
      Next.m_EngineResponse.emplace(EngineOutcomeUnknown{});
    });
  if (std::holds_alternative<SendToEngine>(*m_EngineCall) &&
      m_EngineFailureCount < m_Limits.EngineFailures) {
    AddStep("the engine rejects the order", [](OrderSimulation &Next) {
      ++Next.m_EngineFailureCount;
      Next.m_EngineCall.reset();
      Next.m_EngineResponse.emplace(EngineRejected{});
    });
    AddStep("the engine is busy", [](OrderSimulation &Next) {
      ++Next.m_EngineFailureCount;
      Next.m_EngineCall.reset();
      Next.m_EngineResponse.emplace(EngineBusy{});
    });
  }
}

template <typename TryStep>
void OrderSimulation::faultSteps(TryStep &&AddStep) const {
  if (m_CrashCount < m_Limits.Crashes)
    AddStep("the engine crashes", [](OrderSimulation &Next) { Next.crash(); });
  if (m_KillCount < m_Limits.Kills)
    AddStep("the agent is killed, another starts",
            [](OrderSimulation &Next) { Next.kill(); });
}

} // namespace figlift::test
