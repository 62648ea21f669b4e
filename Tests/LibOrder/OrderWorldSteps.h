//===- OrderWorldSteps.h - What may happen next -----------------*- C++ -*-===//
//
// The steps of OrderWorld: planners, store, engine, and faults. Included by
// OrderWorld.h only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibOrder/OrderWorld.h"

namespace figlift::test {

template <typename TryStep> void OrderWorld::plannerSteps(TryStep &&Try) const {
  for (size_t I = 0; I != 2; ++I)
    if (m_Given[I] < m_Bounds.DeliveriesEach && m_LeaseEpoch > I)
      Try("order " + orderOf(I).Id + " arrives", [&](OrderWorld &W) {
        ++W.m_Given[I];
        W.feed(OrderReceived{I, orderOf(I)});
      });
  if (m_LeaseEpoch <= uint64_t(m_Bounds.Takeovers))
    Try("the lease passes on", [](OrderWorld &W) { ++W.m_LeaseEpoch; });
  if (m_Draining)
    Try("the last request ends", [](OrderWorld &W) {
      W.m_Draining = false;
      W.feed(Drained{});
    });
  if (m_Draining && m_DrainTimeouts < m_Bounds.DrainTimeouts)
    Try("the drain takes too long", [](OrderWorld &W) {
      ++W.m_DrainTimeouts;
      W.m_Draining = false;
      W.feed(DrainTimedOut{});
    });
}

template <typename TryStep> void OrderWorld::storeSteps(TryStep &&Try) const {
  if (m_StoreAnswer)
    Try("the store's answer arrives", [](OrderWorld &W) { W.storeAnswers(); });
  for (size_t I = 0; I != m_LateCommits.size(); ++I)
    Try("a delayed commit reaches the table", [I](OrderWorld &W) {
      Action Late = W.m_LateCommits[I];
      eraseAt(W.m_LateCommits, I);
      W.apply(Late);
    });
  if (!m_StoreCall)
    return;
  Try("the table works", [](OrderWorld &W) { W.storeWorks(); });
  bool Commit = !std::holds_alternative<ReadIntentRow>(*m_StoreCall);
  if (m_Failed < m_Bounds.StoreFailures)
    Try("the store is down", [Commit](OrderWorld &W) {
      ++W.m_Failed;
      W.m_StoreCall.reset();
      if (Commit)
        W.m_StoreAnswer.emplace(CommitFailed{});
      else
        W.m_StoreAnswer.emplace(IntentRowReadFailed{});
    });
  if (Commit && m_Lost < m_Bounds.LostAnswers)
    Try("the commit is delayed, its answer lost", [](OrderWorld &W) {
      ++W.m_Lost;
      W.m_LateCommits.push_back(*W.m_StoreCall);
      W.m_StoreCall.reset();
      W.m_StoreAnswer.emplace(CommitOutcomeUnknown{});
    });
}

template <typename TryStep> void OrderWorld::engineSteps(TryStep &&Try) const {
  if (m_EngineAnswer)
    Try("the engine's answer arrives",
        [](OrderWorld &W) { W.engineAnswers(); });
  for (size_t I = 0; I != m_Copies.size(); ++I)
    Try("a late copy reaches the engine", [I](OrderWorld &W) {
      SendToEngine Late = W.m_Copies[I].Sent;
      eraseAt(W.m_Copies, I);
      W.arrive(Late);
    });
  if (m_Engine.OrderState == EngineOrderState::Running) {
    Try("the engine finishes", [](OrderWorld &W) { W.finishOrder(true); });
    if (m_EngineFailures < m_Bounds.EngineFailures)
      Try("the engine's change fails", [](OrderWorld &W) {
        ++W.m_EngineFailures;
        W.finishOrder(false);
      });
  }
  if (!m_EngineCall)
    return;
  Try("the engine gets the call", [](OrderWorld &W) { W.engineWorks(); });
  if (std::holds_alternative<SendToEngine>(*m_EngineCall) &&
      m_LostSends < m_Bounds.LostSends)
    Try("the order gets no answer", [](OrderWorld &W) {
      ++W.m_LostSends;
      W.loseSend();
      W.m_EngineAnswer.emplace(EngineOutcomeUnknown{});
    });
  if (std::holds_alternative<SendToEngine>(*m_EngineCall) &&
      m_EngineFailures < m_Bounds.EngineFailures) {
    Try("the engine refuses the order", [](OrderWorld &W) {
      ++W.m_EngineFailures;
      W.m_EngineCall.reset();
      W.m_EngineAnswer.emplace(EngineRejected{});
    });
    Try("the engine is busy with work of its own", [](OrderWorld &W) {
      ++W.m_EngineFailures;
      W.m_EngineCall.reset();
      W.m_EngineAnswer.emplace(EngineBusy{});
    });
  }
}

template <typename TryStep> void OrderWorld::faultSteps(TryStep &&Try) const {
  if (m_Crashes < m_Bounds.Crashes)
    Try("the engine crashes", [](OrderWorld &W) { W.crash(); });
  if (m_Kills < m_Bounds.Kills)
    Try("the agent is killed, another starts", [](OrderWorld &W) { W.kill(); });
}

} // namespace figlift::test
