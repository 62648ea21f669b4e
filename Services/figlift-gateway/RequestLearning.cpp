//===- RequestLearning.cpp - What one request teaches ---------------------===//
//
// How fast engines are, what they keep, and what callers ask of them.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

using dispatch::Milliseconds;
using std::chrono::milliseconds;

namespace {

/// Measurements that belong to something else for the most part say little of
/// what they are meant for, and a wrong plan of the rest misleads.
constexpr double LeastPurity = 0.3;
/// Of a read between the tokens of streams, as a measure of reading alone.
constexpr double PurityBesideStreams = 0.1;

} // namespace

void RequestFlow::noteDemand(const dispatch::EngineCosts &Costs,
                             std::span<const dispatch::Target *const> Open,
                             BootTime Now) {
  const dispatch::Prompt &What = *m_Fields.Prompt;
  // What any engine keeps can be fetched: reading it again is a matter of
  // where requests go, not of how many engines read.
  uint32_t Kept = 0;
  for (const dispatch::Target *Each : Open)
    Kept = std::max(Kept, m_Shared.Loads.cachedTokens(Each->Id, What));
  dispatch::DemandMeter &Meter = m_Shared.Demands[m_Service];
  const double Filling =
      m_Shared.Settings.Fleet.Starts ? Meter.cacheFillShare(Now) : 0;
  Kept += static_cast<uint32_t>(Filling * What.sharedTokensBeyond(Kept));
  Meter.recordRequest(Costs.prefill(What, Kept),
                      Costs.transfer(What.Tokens, false) +
                          generationTime() / Costs.traits().Slots,
                      Now);
}

/// An engine is not judged by plans that rest on nothing yet: all of them would
/// look many times as slow, or as fast, as they are, for seconds.
bool RequestFlow::enginesKnown(BootTime Now) const {
  const dispatch::Service *Which = m_Configuration->service(m_Service);
  return !Which || !Which->Engine || m_Shared.costsOf(*Which, Now).calibrated();
}

/// From now on the engine has the prompt in its queue.
void RequestFlow::expectComputed(const std::string &TargetId,
                                 Milliseconds Expected) {
  if (!m_Fields.Prompt || m_Handle)
    return;
  const BootTime Now = BootClock::now();
  const auto Within =
      std::chrono::ceil<milliseconds>(Expected * OverdueFactor + OverdueBase);
  const auto &Parts = m_Fields.Prompt->Parts;
  dispatch::KvCacheView &Cache = m_Shared.Loads.cache(TargetId);
  // The last part is this request's own: no other will ask for it.
  for (size_t At = 0; At + 1 < Parts.size(); ++At) {
    if (Cache.contains(Parts[At].Id))
      continue;
    Cache.addPending(Parts[At], Now + Within);
    m_Shared.NewlyCached.push_back({TargetId, Parts[At], Within});
  }
}

/// What was expected of a send that has failed does not come.
void RequestFlow::abandonExpected(const std::string &TargetId) {
  if (!m_Fields.Prompt || !m_Shared.Targets.find(TargetId))
    return;
  for (const dispatch::PromptPart &Each : m_Fields.Prompt->Parts)
    m_Shared.Loads.cache(TargetId).removePending(Each.Id);
}

void RequestFlow::noteComputed(const std::string &TargetId) {
  // The last part is this request's own: no other will ask for it.
  const auto &Parts = m_Fields.Prompt->Parts;
  dispatch::KvCacheView &Cache = m_Shared.Loads.cache(TargetId);
  for (size_t At = 0; At < Parts.size(); ++At) {
    const bool IsNew = !Cache.contains(Parts[At].Id);
    Cache.insert(Parts[At]);
    if (IsNew && At + 1 < Parts.size())
      m_Shared.NewlyCached.push_back({TargetId, Parts[At], milliseconds(0)});
  }
}

/// What stood in front of the read is known in part; of the time measured, the
/// read gets the share that it had in the plan, and counts by that share.
void RequestFlow::learnRead() {
  const dispatch::Service *Which = m_Configuration->service(m_Service);
  if (!Which || !Which->Engine || !m_CacheKnown ||
      m_ReadTook <= m_ReadPlan.NominalTransfer)
    return;
  const Milliseconds Own =
      m_PlannedRead - m_ReadPlan.Wait - m_ReadPlan.NominalTransfer;
  const double Share = Own / (Own + m_ReadPlan.Wait);
  if (Share < LeastPurity)
    return;
  m_Shared.EngineModels[m_Service].observePrefill(
      m_ReadPlan.Size, (m_ReadTook - m_ReadPlan.NominalTransfer) * Share,
      Share * Share);
}

/// The same of a run, at its first event.
void RequestFlow::learnRun() {
  const BootTime Now = BootClock::now();
  const dispatch::Service *Which = m_Configuration->service(m_Service);
  if (!Which || !Which->Engine || !m_Fields.Prompt || !m_RunSent ||
      m_RunPlan.Wait > Milliseconds(0))
    return;
  engine::EngineModel &Model = m_Shared.EngineModels[m_Service];
  const Milliseconds Took(Now - *m_RunSent);
  if (m_Handle) {
    Model.observeDecodeStart(m_RunPlan.NominalTransfer, Took, 1);
    return;
  }
  if (m_CacheKnown)
    learnReadBesideStreams(m_Shared.costsOf(*Which, Now), Took, Model);
}

/// Of the whole way from the plan to the first event: what is waited for
/// between the read and the run belongs to it, too.
void RequestFlow::learnLateness() {
  const BootTime Now = BootClock::now();
  if (!engineService() || m_PlannedAt == BootTime{} || !enginesKnown(Now))
    return;
  m_Shared.StartLags[m_Service].observe(m_PlannedFirst, Now - m_PlannedAt,
                                        m_Route.LatencyTarget, Now);
}

/// A read at a decode engine teaches what reading beside streams costs, and, in
/// case no prompt is read elsewhere, what reading costs at all: with a figure
/// far too low every prompt seems small enough for decode engines, and nothing
/// would ever correct it.
void RequestFlow::learnReadBesideStreams(const dispatch::EngineCosts &Costs,
                                         Milliseconds Took,
                                         engine::EngineModel &Model) const {
  const Milliseconds Compute = Took - Costs.prefillFixed() -
                               Costs.decodeStartFixed() -
                               m_RunPlan.NominalTransfer;
  if (Compute <= Milliseconds(0))
    return;
  const Milliseconds Alone = Costs.prefill(m_RunPlan.Size);
  Model.observePrefill(m_RunPlan.Size,
                       Costs.prefillFixed() +
                           Compute / Costs.decodePrefillFactor(),
                       PurityBesideStreams);
  const double Share = Alone / Took;
  // The rest is known too loosely to tell a small read from it.
  if (Share >= LeastPurity)
    Model.observeDecodePrefill(Alone, Compute, Share * Share);
}

} // namespace figlift::gateway
