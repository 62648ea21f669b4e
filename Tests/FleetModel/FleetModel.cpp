//===- FleetModel.cpp - Discrete-event model of gateways and engines ------===//
//
// All activity is a queue of events, each an action at a point in time. Here:
// the fleet, the events, and the callers. What gateways do is in
// FleetModelGateways.cpp, what engines do in FleetModelEngines.cpp.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include "FleetFigures.h"

#include <cmath>
#include <string>

namespace figlift::dispatch::test {

using std::chrono::milliseconds;

FleetModel::FleetModel(FleetOptions Options)
    : m_Options(Options), m_Random(Options.Seed) {
  m_Traits.Slots = EngineSlots;
  m_Traits.KvCapacityTokens = 1186579;
  m_Traits.KvBytesPerToken = 18432;
  m_Traits.LinkMbps = 590000;
  m_Parameters.PrefillFixed = Milliseconds(6);
  m_Parameters.PrefillPerThousandTokens = Milliseconds(1.49);
  m_Parameters.PrefillPerMillionPairs = Milliseconds(0.036);
  m_Parameters.FetchFixed = Milliseconds(1.3);
  m_Parameters.DecodeStartFixed = Milliseconds(5.5);
  m_Parameters.PrefillWeight = 1000;
  const unsigned EngineCount =
      m_Options.PrefillEngines + m_Options.DecodeEngines;
  for (unsigned I = 0; I < EngineCount; ++I) {
    Target NewTarget;
    // The order of names is unrelated to stage and zone.
    NewTarget.Id = "engine-" + std::to_string((I * 37) % EngineCount + 1000);
    NewTarget.Zone = "zone-" + std::to_string(m_Random() % m_Options.Zones);
    NewTarget.EngineStage =
        I < m_Options.PrefillEngines ? Stage::Prefill : Stage::Decode;
    Engine &NewEngine = m_Engines[NewTarget.Id];
    NewEngine.Info = NewTarget;
    NewEngine.Cache.setCapacity(m_Traits.KvCapacityTokens);
    const unsigned OfStage =
        I < m_Options.PrefillEngines ? I : I - m_Options.PrefillEngines;
    const unsigned StageCount = I < m_Options.PrefillEngines
                                    ? m_Options.PrefillEngines
                                    : m_Options.DecodeEngines;
    if (m_Options.SlowInterval > Milliseconds(0)) {
      NewEngine.Interval =
          OfStage % 2 == 0 ? m_Options.FastInterval : m_Options.SlowInterval;
      NewEngine.SlowFrom =
          m_Start - toClockDuration(SlowPeriod * randomFraction());
    }
    NewEngine.RejectsForATime = OfStage < m_Options.RejectingShare * StageCount;
  }
  for (const auto &[Id, Known] : m_Engines)
    m_Targets.push_back(&Known.Info);
  for (unsigned I = 0; I < m_Options.Gateways; ++I) {
    m_Gateways.push_back(std::make_unique<Gateway>(PromptPlannerOptions{}));
    m_Gateways[I]->Reserve.setOwnShare(1.0 / m_Options.Gateways, m_Now);
    for (const Target *Known : m_Targets)
      m_Gateways[I]->Loads.targetAdded(*Known, m_Traits.KvCapacityTokens);
    after(Milliseconds(m_Options.ReportInterval) * randomFraction(),
          [this, I] { report(I); });
    if (m_Options.SlowInterval > Milliseconds(0))
      after(PaceInterval * randomFraction(), [this, I] { reportPaces(I); });
  }
}

void FleetModel::after(Milliseconds Delay, Action Run) {
  m_Events.push({m_Now + toClockDuration(Delay), ++m_Order, std::move(Run)});
}

double FleetModel::currentLoad() const {
  const auto Elapsed = m_Now - m_Start;
  if (Elapsed < std::chrono::seconds(1))
    return 1;
  if (m_Options.SwingPeriod.count() == 0)
    return m_Options.Load;
  const auto Period =
      (Elapsed - std::chrono::seconds(1)) / m_Options.SwingPeriod;
  return Period % 2 == 0 ? m_Options.Load : 1;
}

FleetResult FleetModel::run() {
  scheduleCaller();
  const BootTime End = m_Start + m_Options.Duration + toClockDuration(Deadline);
  while (!m_Events.empty() && m_Events.top().At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.At;
    Next.Run();
  }
  const auto Measured = m_Options.Duration - std::chrono::seconds(1);
  m_Result.Goodput =
      m_Result.OnTime / std::chrono::duration<double>(Measured).count();
  return m_Result;
}

void FleetModel::scheduleCaller() {
  if (m_Now >= m_Start + m_Options.Duration)
    return;
  auto NewCall = std::make_shared<Request>();
  NewCall->Details = newRequest();
  NewCall->Generation =
      randomFraction() < SecondEventFraction ? SecondEventGap : Milliseconds(0);
  if (NewCall->Details.Input.Tokens < 1000)
    NewCall->Generation = LongResponseTime;
  if (NewCall->Generation == LongResponseTime &&
      m_Options.SlowInterval > Milliseconds(0) && m_Options.PlacesByPauses) {
    NewCall->Details.Service = ServiceName;
    NewCall->Details.AllowedPause = m_Options.AllowedPause;
  }
  NewCall->Arrived = m_Now;
  setPriority(NewCall);
  receive(NewCall);
  after(Milliseconds(-std::log(1 - randomFraction()) * 1e3 /
                     (m_Options.Rate * totalLoad())),
        [this] { scheduleCaller(); });
}

PromptRequest FleetModel::newRequest() {
  PromptRequest NewRequest;
  NewRequest.LatencyTarget = LatencyTarget;
  NewRequest.EventGap = Milliseconds(250);
  const uint64_t OwnPartId = m_Random();
  if (randomFraction() < LongResponseFraction / totalLoad()) {
    NewRequest.Input = {
        220, 100, {{1 + m_Random() % 82, 80}, {OwnPartId, 140}}};
    NewRequest.GenerationTime = LongResponseTime;
    return NewRequest;
  }
  // Log-normal with a mean and a standard deviation of 2,890.
  const double RandomSize = std::exp(
      std::normal_distribution<double>(std::log(2890) - 0.35, 0.83)(m_Random));
  const auto OwnTokens =
      static_cast<uint32_t>(std::clamp(RandomSize, 100.0, 39600.0));
  NewRequest.Input = {2520 + 3780 + OwnTokens,
                      2,
                      {{100 + m_Random() % 4, 2520},
                       {1000 + m_Random() % SubjectCount, 3780},
                       {OwnPartId, OwnTokens}}};
  NewRequest.GenerationTime = SecondEventGap * SecondEventFraction;
  return NewRequest;
}

void FleetModel::setPriority(const RequestPointer &Call) {
  if (!knowsPriorities())
    return;
  Call->Priority = randomFraction() < m_Options.UrgentShare / totalLoad()
                       ? UrgentPriority
                       : LessUrgentPriority;
  if (!m_Options.SendsPriorities) {
    Call->Details.EnginePriority = DefaultEnginePriority;
    return;
  }
  // Long streams are as urgent at engines as any.
  Call->Details.EnginePriority =
      Call->Generation == LongResponseTime ? UrgentPriority : Call->Priority;
}

PriorityResult &FleetModel::resultOf(const RequestPointer &Call) {
  return Call->Priority == UrgentPriority ? m_Result.Urgent
                                          : m_Result.LessUrgent;
}

} // namespace figlift::dispatch::test
