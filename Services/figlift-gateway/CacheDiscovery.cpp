//===- CacheDiscovery.cpp - Queries the KV cache of engines ---------------===//
//
// See CacheDiscovery.h.
//
//===----------------------------------------------------------------------===//

#include "CacheDiscovery.h"

#include "EngineCall.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"
#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// A cache list delays the engine's work a little, so gateways that start
/// together query each engine at different times within this interval. With
/// one second the value earned after a loss of all gateways differs only by
/// noise; the shorter interval leaves fewer requests that are planned without
/// knowing the caches.
constexpr std::chrono::milliseconds QuerySpread{200};

} // namespace

void CacheDiscovery::engineAdded(const dispatch::Target &Engine, BootTime Now) {
  if (Engine.EngineStage == dispatch::Stage::None)
    return;
  m_Pending.push_back(
      {Engine.Id, Now + std::chrono::duration_cast<BootClock::duration>(
                            QuerySpread * m_Shared.draw())});
}

void CacheDiscovery::tick(BootTime Now) {
  std::vector<Query> Later;
  for (const Query &Scheduled : std::exchange(m_Pending, {})) {
    const dispatch::Target *Engine = m_Shared.Targets.find(Scheduled.TargetId);
    const bool MustWait = Engine && m_Shared.Feedback.backoffs().isBackingOff(
                                        Engine->start(), Now);
    if (Now < Scheduled.Due || MustWait)
      Later.push_back(Scheduled);
    else if (m_Shared.Open.uses(Scheduled.TargetId))
      log::guarded("query of a cache", Scheduled.TargetId,
                   [&] { queryCache(Scheduled.TargetId); });
  }
  m_Pending.insert(m_Pending.end(), Later.begin(), Later.end());
}

void CacheDiscovery::queryCache(const std::string &TargetId) {
  const dispatch::Target *Engine = m_Shared.Targets.find(TargetId);
  if (!Engine)
    return;
  const auto OnResponse = [&Shared = m_Shared, TargetId,
                           Start = Engine->Started](unsigned Status,
                                                    const std::string &Body) {
    const dispatch::Target *Current = Shared.Targets.find(TargetId);
    if (!Current || Current->Started != Start)
      return;
    Shared.Loads.setCacheReported(TargetId);
    const auto Parts = slopes::decodeCacheList(Status == 200 ? Body : "");
    if (!Parts)
      return log::logEvent(log::Level::Warning, "cache-list-missing",
                           {{"target", TargetId},
                            {"status", Status},
                            {"message", Parts.error().Message}});
    for (const dispatch::PromptPart &Part : Parts.value())
      Shared.Loads.cache(TargetId).insert(Part);
    log::logEvent(log::Level::Info, "cache-listed",
                  {{"target", TargetId}, {"parts", Parts.value().size()}});
  };
  // An engine without a free connection already works for this gateway, and
  // the responses will show what it has cached.
  callEngine(m_Shared, TargetId, "GET", slopes::CacheListTarget, "",
             OnResponse);
}

} // namespace figlift::gateway
