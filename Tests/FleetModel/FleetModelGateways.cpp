//===- FleetModelGateways.cpp - Gateways of the model ---------------------===//
//
// Plan requests, learn from what engines do, and report to each other.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include "FleetFigures.h"

#include <algorithm>
#include <string>

namespace figlift::dispatch::test {

using std::chrono::milliseconds;

void FleetModel::recordDemand(const RequestPointer &Call) {
  const PromptRequest &Details = Call->Details;
  uint32_t CachedTokens = 0;
  for (const Target *Known : m_Targets)
    CachedTokens =
        std::max(CachedTokens,
                 gateway(Call).Loads.cachedTokens(Known->Id, Details.Input));
  gateway(Call).Reserve.recordRequest(
      Call->Priority, costs().prefill(Details.Input, CachedTokens),
      costs().transfer(Details.Input.Tokens, false) +
          std::min(Details.GenerationTime, LatencyTarget) / EngineSlots,
      m_Now);
}

void FleetModel::receive(const RequestPointer &Call) {
  Call->GatewayIndex = static_cast<unsigned>(m_Random() % m_Options.Gateways);
  PromptRequest &Details = Call->Details;
  const Milliseconds Elapsed(m_Now - Call->Arrived);
  Details.Draw = randomFraction();
  Call->ReceivedAt = m_Now;
  // A gateway does not know that the caller was rejected before.
  Details.TimeToLatencyTarget = LatencyTarget;
  Details.TimeLeft = Deadline - Elapsed;
  const bool IsCounted =
      Call->Arrived >= m_Start + std::chrono::seconds(1) && !Call->Retried;
  m_Result.Requested += IsCounted ? 1 : 0;
  resultOf(Call).Requested += IsCounted ? 1 : 0;
  if (knowsPriorities())
    recordDemand(Call);
  plan(Call);
}

PromptRequest FleetModel::allowedNow(const RequestPointer &Call) {
  PromptRequest Allowed = Call->Details;
  if (m_Options.KeepsPauses)
    for (const std::string &Id : gateway(Call).Backoffs.activeIds(m_Now))
      Allowed.Excluded.push_back(Id);
  return Allowed;
}

void FleetModel::plan(const RequestPointer &Call) {
  PromptRequest &Details = Call->Details;
  Call->PlannedAt = m_Now;
  Details.ExpectedStartLag = gateway(Call).Lags[Call->Priority].current(m_Now);
  Details.Reserve = Milliseconds(0);
  if (knowsPriorities() && m_Options.KeepsReserve && !Call->Resent)
    Details.Reserve = gateway(Call).Reserve.reserve(
        Call->Priority, LatencyTarget,
        {static_cast<double>(m_Options.PrefillEngines),
         static_cast<double>(m_Options.DecodeEngines)},
        m_Now);
  Details.MaySpill =
      m_Options.Spills && randomFraction() < gateway(Call).Spill.share();
  const auto Plan =
      gateway(Call).Planner.plan(allowedNow(Call), m_Targets, costs(), m_Now);
  if (const auto *PrefillFirst = std::get_if<PrefillThenDecode>(&Plan)) {
    Call->ExpectedFirst = PrefillFirst->FirstEvent;
    return prefill(Call, *PrefillFirst);
  }
  if (const auto *DirectDecode = std::get_if<DecodePlan>(&Plan)) {
    Call->ExpectedFirst = DirectDecode->Expected;
    Call->Spilled = DirectDecode->Spilled;
    return decode(Call, *DirectDecode, false);
  }
  const auto &Refused = std::get<Rejection>(Plan);
  const auto FirstEnd = gateway(Call).Backoffs.firstEnd(m_Targets, m_Now);
  handleRejection(Call, Refused.NoneAvailable && FirstEnd
                            ? Milliseconds(*FirstEnd) +
                                  ReturnSpread * randomFraction()
                            : Milliseconds(Refused.RetryAfter));
}

void FleetModel::handleRejection(const RequestPointer &Call,
                                 Milliseconds RetryAfter) {
  ++m_Result.GatewayRejections;
  gateway(Call).Reserve.recordOutcome(Call->Priority, false, m_Now);
  const Milliseconds Remaining = Deadline - Milliseconds(m_Now - Call->Arrived);
  if (std::exchange(Call->Retried, true) || RetryAfter > Remaining / 3)
    return;
  after(RetryAfter, [this, Call] {
    Call->Details.Excluded.clear();
    Call->Resent = false;
    receive(Call);
  });
}

void FleetModel::finishPrefill(const RequestPointer &Call, Engine &Host) {
  Gateway &Planning = gateway(Call);
  Planning.Loads.recordAnswer(Host.Info.Id, Call->Ticket, m_Now);
  Planning.Loads.recordEnd(Host.Info.Id, Call->Ticket);
  recordCached(Call, Host);
  const auto DecodeTarget = Planning.Planner.chooseDecodeTarget(
      allowedNow(Call), &Host.Info, m_Targets, costs(), m_Now);
  if (DecodeTarget)
    return decode(Call, *DecodeTarget, true);
  handleRejection(Call, Milliseconds(300));
}

void FleetModel::recordFirstEvent(const RequestPointer &Call,
                                  bool HasPrefilled) {
  Gateway &Planning = gateway(Call);
  Planning.Lags[Call->Priority].observe(Call->ExpectedFirst,
                                        Milliseconds(m_Now - Call->PlannedAt),
                                        LatencyTarget, m_Now);
  Planning.Reserve.recordOutcome(Call->Priority, true, m_Now);
  const bool OnTime =
      m_Now - Call->ReceivedAt <= toClockDuration(LatencyTarget);
  if (Call->Spilled)
    Planning.Spill.recordSpilled(OnTime);
  else if (!HasPrefilled && !OnTime)
    Planning.Spill.recordLateSmallPrompt();
  if (OnTime) {
    const auto Second = static_cast<size_t>(
        std::chrono::floor<std::chrono::seconds>(m_Now - m_Start).count());
    m_Result.OnTimeBySecond.resize(
        std::max(m_Result.OnTimeBySecond.size(), Second + 1));
    ++m_Result.OnTimeBySecond[Second];
  }
  if (Call->Arrived >= m_Start + std::chrono::seconds(1))
    ++(OnTime ? m_Result.OnTime : m_Result.Late);
  if (Call->Arrived >= m_Start + std::chrono::seconds(1) && OnTime)
    ++resultOf(Call).OnTime;
}

void FleetModel::finishDecode(const RequestPointer &Call, Engine &Host) {
  gateway(Call).Loads.recordEnd(Host.Info.Id, Call->Ticket);
  recordCached(Call, Host);
}

/// As in the gateway process, a rejected request is planned once more.
void FleetModel::handleEngineRejection(const RequestPointer &Call,
                                       Engine &Host) {
  ++m_Result.EngineRejections;
  LoadTracker &Loads = gateway(Call).Loads;
  Loads.recordRejection(Host.Info.Id, m_Now);
  gateway(Call).Lags[Call->Priority].recordRejection(LatencyTarget, m_Now);
  Loads.recordEnd(Host.Info.Id, Call->Ticket);
  if (std::exchange(Call->Resent, true))
    return handleRejection(Call, Milliseconds(300));
  PromptRequest &Details = Call->Details;
  Details.Excluded.push_back(Host.Info.Id);
  const Milliseconds Elapsed(m_Now - Call->Arrived);
  Details.TimeToLatencyTarget =
      std::max(Milliseconds(0), LatencyTarget - Elapsed);
  Details.TimeLeft = std::max(Milliseconds(0), Deadline - Elapsed);
  plan(Call);
}

void FleetModel::recordCached(const RequestPointer &Call, Engine &Host) {
  Gateway &Planning = gateway(Call);
  KvCacheView &Cache = Planning.Loads.cache(Host.Info.Id);
  const auto &Parts = Call->Details.Input.Parts;
  for (size_t Index = 0; Index < Parts.size(); ++Index) {
    const bool IsNew = !Cache.contains(Parts[Index].Id);
    Cache.insert(Parts[Index]);
    if (IsNew && Index + 1 < Parts.size())
      Planning.NewlyCached.emplace_back(Host.Info.Id, Parts[Index]);
  }
}

void FleetModel::reportPaces(unsigned SenderIndex) {
  StreamPaces &Sender = m_Gateways[SenderIndex]->Paces;
  const auto Intervals = Sender.intervals().localSamples(m_Now);
  const auto Ratios = Sender.ratios().localSamples(m_Now);
  const std::string Name = std::to_string(SenderIndex);
  for (unsigned I = 0; I < m_Options.Gateways; ++I)
    if (I != SenderIndex) {
      StreamPaces &Receiver = m_Gateways[I]->Paces;
      Receiver.intervals().recordPeerReport(Name, Intervals, m_Now);
      Receiver.ratios().recordPeerReport(Name, Ratios, m_Now);
    }
  after(PaceInterval, [this, SenderIndex] { reportPaces(SenderIndex); });
}

void FleetModel::report(unsigned SenderIndex) {
  Gateway &Sender = *m_Gateways[SenderIndex];
  auto Loads = Sender.Loads.localLoads();
  if (SenderIndex < m_Options.GatewaysWithoutPriorities)
    for (PeerLoad &Load : Loads)
      Load.ByPriority.clear();
  const bool IsLost =
      m_Options.LostReports > 0 && randomFraction() < m_Options.LostReports;
  const auto Cached = std::exchange(Sender.NewlyCached, {});
  const std::string Name = std::to_string(SenderIndex);
  for (unsigned I = 0; I < m_Options.Gateways; ++I) {
    if (I == SenderIndex || IsLost)
      continue;
    LoadTracker &Receiver = m_Gateways[I]->Loads;
    Receiver.recordPeerReport(Name, Loads, m_Now);
    for (const auto &[Id, Part] : Cached)
      Receiver.cache(Id).insert(Part);
  }
  after(m_Options.ReportInterval, [this, SenderIndex] { report(SenderIndex); });
}

} // namespace figlift::dispatch::test
