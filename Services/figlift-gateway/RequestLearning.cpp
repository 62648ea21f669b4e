//===- RequestLearning.cpp - Measurements taken from one request ----------===//
//
// Updates the engine cost model, the view of engine caches, and the demand.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

using dispatch::Milliseconds;
using std::chrono::milliseconds;

namespace {

/// A measurement that consists mostly of other work says little about the
/// measured quantity, and an error in the plan of the other work distorts it.
constexpr double MinimumPurity = 0.3;
/// Weight of a prefill beside decoding streams as a measurement of prefill
/// alone.
constexpr double PurityBesideStreams = 0.1;
/// The longest of a few intervals is hardly longer than their mean.
constexpr uint64_t MinimumIntervalsOfRatio = 20;
/// A prefill that took longer waited for something that the plan did not know.
constexpr double MaximumReadRatio = 5;
/// A prefill planned to take this long counts as one sample.
constexpr Milliseconds ReadRatioUnit{25};

} // namespace

void RequestFlow::recordDemand(const dispatch::EngineCosts &Costs,
                               std::span<const dispatch::Target *const> Open,
                               BootTime Now) {
  const dispatch::Prompt &Prompt = *m_Fields.Prompt;
  // Tokens cached at any engine can be fetched. Computing them again is caused
  // by the routing of requests, and is no demand for more prefill engines.
  uint32_t CachedTokens = 0;
  for (const dispatch::Target *Target : Open)
    CachedTokens =
        std::max(CachedTokens, m_Shared.Loads.cachedTokens(Target->Id, Prompt));
  dispatch::DemandMeter &Meter = m_Shared.Demands[m_Service];
  const double FillingShare =
      m_Shared.Settings.Fleet.Starts ? Meter.cacheFillShare(Now) : 0;
  CachedTokens += static_cast<uint32_t>(
      FillingShare * Prompt.sharedTokensBeyond(CachedTokens));
  const Milliseconds Prefill = Costs.prefill(Prompt, CachedTokens);
  const Milliseconds Transfer = Costs.transfer(Prompt.Tokens, false);
  Meter.recordRequest(Prefill,
                      Transfer + generationTime() / Costs.traits().Slots, Now);
}

/// Plans without any measurement are not used to rate an engine: for seconds
/// all engines would appear many times slower or faster than they are.
bool RequestFlow::engineCostsKnown(BootTime Now) const {
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  return !Service || !Service->Engine ||
         m_Shared.costsOf(*Service, Now).calibrated();
}

/// Records that the engine has the prompt in its queue.
void RequestFlow::expectCached(const std::string &TargetId,
                               Milliseconds Expected) {
  if (!m_Fields.Prompt || m_Handle)
    return;
  const BootTime Now = BootClock::now();
  const auto Within =
      std::chrono::ceil<milliseconds>(Expected * OverdueFactor + OverdueBase);
  const auto &Parts = m_Fields.Prompt->Parts;
  dispatch::KvCacheView &Cache = m_Shared.Loads.cache(TargetId);
  // The last part belongs to this request only; no other request will use it.
  for (size_t I = 0; I + 1 < Parts.size(); ++I) {
    if (Cache.contains(Parts[I].Id))
      continue;
    Cache.addPending(Parts[I], Now + Within);
    m_Shared.NewlyCached.push_back({TargetId, Parts[I], Within});
  }
}

/// Removes the expected cache entries of an attempt that failed.
void RequestFlow::abandonExpectedCache(const std::string &TargetId) {
  if (!m_Fields.Prompt || !m_Shared.Targets.find(TargetId))
    return;
  for (const dispatch::PromptPart &Part : m_Fields.Prompt->Parts)
    m_Shared.Loads.cache(TargetId).removePending(Part.Id);
}

void RequestFlow::recordCached(const std::string &TargetId) {
  // The last part belongs to this request only; no other request will use it.
  const auto &Parts = m_Fields.Prompt->Parts;
  dispatch::KvCacheView &Cache = m_Shared.Loads.cache(TargetId);
  for (size_t I = 0; I < Parts.size(); ++I) {
    const bool IsNew = !Cache.contains(Parts[I].Id);
    Cache.insert(Parts[I]);
    if (IsNew && I + 1 < Parts.size())
      m_Shared.NewlyCached.push_back({TargetId, Parts[I], milliseconds(0)});
  }
}

/// The wait before the prefill is known only approximately. The measured time
/// is divided in the proportion of the plan, and the measurement is weighted
/// by that share.
void RequestFlow::learnPrefill() {
  learnReadRatio();
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  if (!Service || !Service->Engine || !m_CacheKnown ||
      m_PrefillTime <= m_PrefillPlan.NominalTransfer)
    return;
  const Milliseconds PlannedTime =
      m_PlannedPrefill - m_PrefillPlan.Wait - m_PrefillPlan.NominalTransfer;
  const double Share = PlannedTime / (PlannedTime + m_PrefillPlan.Wait);
  if (Share < MinimumPurity)
    return;
  m_Shared.EngineModels[m_Service].observePrefill(
      m_PrefillPlan.Size,
      (m_PrefillTime - m_PrefillPlan.NominalTransfer) * Share, Share * Share);
}

/// Learns from the first event of an execution.
void RequestFlow::learnExecutionStart() {
  const BootTime Now = BootClock::now();
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  if (!Service || !Service->Engine || !m_Fields.Prompt || !m_ExecutionSent ||
      m_ExecutionPlan.Wait > Milliseconds(0))
    return;
  engine::EngineModel &Model = m_Shared.EngineModels[m_Service];
  const Milliseconds FirstEventTime(Now - *m_ExecutionSent);
  if (m_Handle) {
    Model.observeDecodeStart(m_ExecutionPlan.NominalTransfer, FirstEventTime,
                             1);
    return;
  }
  // Prompts are spilled in bursts, when they wait for more than the plan knows.
  // Learned from them, the costs are those of a small prompt for all prompts.
  if (m_CacheKnown && !m_Spilled)
    learnPrefillBesideStreams(m_Shared.costsOf(*Service, Now), FirstEventTime,
                              Model);
}

/// Covers the time from the plan to the first event, including waits between
/// prefill and decode.
void RequestFlow::learnStartLag() {
  const BootTime Now = BootClock::now();
  if (!engineService() || m_PlannedAt == BootTime{} || !engineCostsKnown(Now))
    return;
  m_Shared.StartLags.of(m_Service, m_Route.Name)
      .observe(m_PlannedFirst, Now - m_PlannedAt, m_Route.LatencyTarget, Now);
}

void RequestFlow::learnSpill() {
  if (!engineService() || m_Handle)
    return;
  dispatch::PrefillSpill &Spill = m_Shared.PrefillSpills[m_Service];
  const bool InTime = BootClock::now() - m_Started <= m_Route.LatencyTarget;
  if (m_Spilled)
    Spill.recordSpilled(InTime);
  else if (!InTime)
    Spill.recordLateSmallPrompt();
}

/// Weighted by the planned time, so that the average is the ratio of the sums:
/// a short prefill consists mostly of waits and network delays.
void RequestFlow::learnReadRatio() {
  const BootTime Now = BootClock::now();
  if (!m_CacheKnown || m_PlannedPrefill <= Milliseconds(0) ||
      !engineCostsKnown(Now))
    return;
  // The plan was already corrected by the slowness of the engine.
  const Milliseconds Nominal =
      m_PlannedPrefill / m_Shared.Loads.slowness(m_PrefillTarget, Now);
  m_Shared.ReadRatios.record(
      m_PrefillTarget, std::min(MaximumReadRatio, m_PrefillTime / Nominal),
      Nominal / ReadRatioUnit, Now);
}

void RequestFlow::learnPace() {
  const BootTime Now = BootClock::now();
  const auto Interval =
      m_Progress.recordEvents(m_Relay.events(), m_Shared.Delay.total(Now), Now);
  if (Interval && Interval->IsOfTarget && engineService())
    m_Shared.Paces.recordInterval(m_ExecutionTarget, Interval->Length,
                                  static_cast<double>(Interval->Events), Now);
}

void RequestFlow::learnPauseRatio() {
  if (m_Progress.intervals() >= MinimumIntervalsOfRatio && engineService() &&
      m_Progress.isLongestOfTarget())
    m_Shared.Paces.recordPauseRatio(
        m_Service, m_Progress.longestPause() / m_Progress.meanInterval(),
        BootClock::now());
}

/// A prefill at a decode engine measures the cost of prefill beside streams
/// and, when there is no prefill elsewhere, the prefill cost itself. If the
/// learned cost is far too low, every prompt seems small enough for decode
/// engines, and no other measurement would correct it.
void RequestFlow::learnPrefillBesideStreams(const dispatch::EngineCosts &Costs,
                                            Milliseconds FirstEventTime,
                                            engine::EngineModel &Model) const {
  const Milliseconds Compute = FirstEventTime - Costs.prefillFixed() -
                               Costs.decodeStartFixed() -
                               m_ExecutionPlan.NominalTransfer;
  if (Compute <= Milliseconds(0))
    return;
  const Milliseconds Isolated = Costs.prefill(m_ExecutionPlan.Size);
  Model.observePrefill(m_ExecutionPlan.Size,
                       Costs.prefillFixed() +
                           Compute / Costs.decodePrefillFactor(),
                       PurityBesideStreams);
  const double Share = Isolated / FirstEventTime;
  // The remaining time is not known precisely enough to measure a smaller
  // prefill.
  if (Share >= MinimumPurity)
    Model.observeDecodePrefill(Isolated, Compute, Share * Share);
}

} // namespace figlift::gateway
